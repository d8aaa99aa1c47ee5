Feature: Choice of a target
  Two other targets n1 and n2 stand in the node's own region, far one in the other.

  Scenario Outline: <case>
    Given a node whose own target has load <own>
    And its peers report <n1>, <n2> and <far>
    When 5 calls are placed <age> ms later
    Then they go to <chosen>

    # A load is RUNNING/QUEUED/TYPICAL_MS of 10 slots; "-" is no target or no report.
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

  Scenario: A failing target is ejected, tried again after a while, and returns
    Given a node whose own target has load -
    And its peers report 0/0/5, 9/9/50 and -
    When 5 calls fail at n1
    And 20 calls are placed 0 ms later
    Then they go to n2
    When 20 bookings are placed 1100 ms later
    Then they go to n2
    When 1 calls are placed 0 ms later
    Then they go to n1
    When the trial call succeeds at n1
    And 20 calls are placed 0 ms later
    Then they go to n1

  Scenario: No more than half of the targets are ejected
    Given a node whose own target has load -
    And its peers report 0/0/5, 0/0/5 and 0/0/5
    When 50 calls fail at n1
    And 50 calls fail at n2
    And 50 calls fail at far
    Then at most 2 targets are ejected

  Scenario Outline: A call that ends as <first> and <idempotent> be repeated
    When a call that <idempotent> be repeated ends as <first>
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

  Scenario: Retries are a share of the calls
    When 1000 calls earn 10 percent and each asks for a retry
    Then between 100 and 121 retries are allowed
