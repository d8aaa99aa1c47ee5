Feature: Choice of a target
  The peers' targets n1 and n2 are in the local region, the target far is in another region.

  Scenario Outline: <case>
    Given a node whose local target has load <own>
    And its peers report <n1>, <n2> and <far>
    When 5 calls are routed <age> ms later
    Then they are sent to <chosen>

    # A load is RUNNING/QUEUED/TYPICAL_SERVICE_MS of 10 slots; "-" is no target or no report.
    Examples:
      | case                                            | own     | n1      | n2      | far   | age  | chosen |
      | the own target first                            | 3/0/5   | 0/0/5   | 0/0/5   | 0/0/5 | 0    | local  |
      | a busy own target hands over                    | 10/20/5 | 0/0/5   | 0/0/5   | 0/0/5 | 0    | n1 n2  |
      | a slow own target hands over                    | 3/0/90  | 0/0/5   | 0/0/5   | 0/0/5 | 0    | n1 n2  |
      | the better of two peers                         | -       | 10/40/5 | 0/0/5   | 0/0/5 | 0    | n2     |
      | the slower peer is left out                     | -       | 0/0/90  | 0/0/5   | 0/0/5 | 0    | n2     |
      | an old report fades                             | -       | 10/9/5  | 0/0/5   | -     | 9000 | n1 n2  |
      | the other region where the own one has no room  | -       | 10/99/100 | 10/99/100 | 0/0/5 | 0  | far    |
      | not for a little wait                           | -       | 10/3/5  | 10/3/5  | 0/0/5 | 0    | n1 n2  |

  Scenario: A failing target is ejected and readmitted after a successful trial call
    Given a node whose local target has load -
    And its peers report 0/0/5, 9/9/50 and -
    When 5 calls fail at n1
    And 20 calls are routed 0 ms later
    Then they are sent to n2
    When 20 bookings are routed 1100 ms later
    Then they are sent to n2
    When 1 calls are routed 0 ms later
    Then they are sent to n1
    When the trial call succeeds at n1
    And 20 calls are routed 0 ms later
    Then they are sent to n1

  Scenario Outline: <count> connection attempts to the node beside a target fail
    Given a node whose local target has load -
    And its peers report 0/0/5, 9/9/50 and -
    When <count> connection attempts to n1 fail
    And 20 calls are routed 0 ms later
    Then they are sent to <names>

    # A single failed attempt may be due to a lost packet.
    Examples:
      | count | names |
      | 1     | n1    |
      | 2     | n2    |

  Scenario: No more than half of the targets are ejected
    Given a node whose local target has load -
    And its peers report 0/0/5, 0/0/5 and 0/0/5
    When 50 calls fail at n1
    And 50 calls fail at n2
    And 50 calls fail at far
    Then at most 2 targets are ejected

  Scenario Outline: Retry of a call with outcome <first> that <idempotent> be repeated
    When the outcome of a call that <idempotent> be repeated is <first>
    Then it is <retried> to another target

    Examples:
      | first                  | idempotent | retried  |
      | not-run leaving        | may not    | sent     |
      | not-run queue-full     | may not    | sent     |
      | not-run never-arrived  | may not    | sent     |
      | not-run deadline       | may        | not sent |
      | not-run quarantined    | may        | not sent |
      | unknown upstream-lost  | may        | sent     |
      | unknown upstream-lost  | may not    | not sent |
      | unknown peer-lost      | may not    | not sent |
      | unknown deadline       | may        | not sent |
      | answer 503             | may        | sent     |
      | answer 503             | may not    | not sent |
      | answer 404             | may        | not sent |

  Scenario: Retries are limited to a share of the calls
    When 1000 calls deposit 10 percent of a token each and each requests a retry
    Then between 100 and 121 retries are allowed

  Scenario Outline: Targets that report their slowness: <case>
    Given a node whose local target serves another service
    And peers in the region with slowness <n1> and <n2>, and one elsewhere with <far>
    When a call with <left> ms left is routed <age> ms later, and <declined> declined it
    Then it is sent to <target> with <terms>

    # The usual run time is 100 ms, the objective 400 ms.
    Examples:
      | case                               | n1 | n2 | far | age  | left | declined | target | terms                      |
      | the fast one near                  | 1  | 4  | 1   | 0    | 400  | nobody   | n1     | a limit above 100          |
      | the other fast one near            | 4  | 1  | 1   | 0    | 400  | nobody   | n2     | a limit above 100          |
      | both slow near, a fast one far     | 4  | 4  | 1   | 0    | 400  | nobody   | far    | a limit above 100          |
      | all slow, all asked                | 4  | 4  | 4   | 0    | 390  | all      | near   | a hold of 60 ms, then back |
      | all slow, and little time left     | 4  | 4  | 4   | 0    | 180  | all      | near   | a hold of 30 ms            |
      | all slow, and no time left         | 4  | 4  | 4   | 0    | 100  | all      | near   | a hold of 0 ms             |
      | an old report is worth little      | 4  | 1  | 4   | 5000 | 400  | nobody   | any    | a limit above 100          |

  Scenario Outline: Targets that fail some of their calls: <case>
    Given a node whose local target serves another service
    And peers in the region that fail <f1> and <f2> percent of their calls
    When a call with 400 ms left is routed <age> ms later, and nobody declined it
    Then it is sent to <target> with a limit above 100

    Examples:
      | case                       | f1 | f2 | age   | target |
      | the sound one              | 40 | 0  | 0     | n2     |
      | the other sound one        | 0  | 40 | 0     | n1     |
      | all fail alike             | 40 | 40 | 0     | near   |
      | what is old counts little  | 40 | 40 | 20000 | near   |

  Scenario Outline: The failure rate after <calls>
    When calls end as <calls>, and <ms> ms pass
    Then the failure rate is between <least> and <most> percent

    Examples:
      | calls           | ms    | least | most |
      | 20 ok           | 0     | 0     | 0    |
      | 30 failed       | 0     | 85    | 100  |
      | 30 failed       | 3000  | 40    | 50   |
      | 30 failed       | 30000 | 0     | 1    |
      | 30 failed 30 ok | 0     | 0     | 10   |

  Scenario Outline: A target with slowness <slowness> now receives a call <terms>
    Given a target whose upstream reports slowness <slowness> now and <later> from its second report
    When a call arrives <terms>
    Then its outcome there is <outcome> within <within> ms

    Examples:
      | slowness | later | terms                     | outcome                  | within |
      | 1        | 1     | with a limit of 200 ms    | answered                 | 80     |
      | 4        | 4     | with a limit of 200 ms    | not-run faster-elsewhere | 80     |
      | 4        | 4     | with no limit and no hold | answered                 | 80     |
      | 4        | 1     | with a hold of 300 ms     | answered                 | 150    |
      | 4        | 4     | with a hold of 300 ms     | answered                 | 500    |
      | 4        | 1     | with a turn of 60 ms      | answered                 | 150    |
      | 4        | 4     | with a turn of 60 ms      | not-run faster-elsewhere | 150    |
