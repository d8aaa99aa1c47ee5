Feature: Upstreams that refuse calls although they have free slots
  Their health checks pass. Without a limit at the node beside it, such an upstream kept being chosen.

  Scenario Outline: An upstream that <habit> gets <arrive> calls a second for <seconds> s
    Given a target beside an upstream that <habit>
    When calls arrive at <arrive> a second for <seconds> s
    Then the upstream gets <least> to <most> of them
    And its node offers calls: <offers>

    Examples:
      | habit                                  | arrive | seconds | least | most | offers |
      | refuses all calls                      | 100    | 8       | 8     | 14   | no     |
      | refuses all calls with all slots in use | 100   | 2       | 190   | 200  | yes    |
      | refuses every second call              | 100    | 2       | 190   | 200  | yes    |
      | runs all calls                         | 100    | 2       | 190   | 200  | yes    |
      | refuses calls for 2000 ms              | 100    | 6       | 180   | 420  | yes    |
      | refuses calls until it is restarted after 1000 ms | 100 | 3 | 180 | 220 | yes    |

  # Guards against a trial call that is not recognised at its end: the next one would start 5 s later.
  Scenario: Calls that other targets rejected before find out that the upstream runs calls again
    Given a target beside an upstream that refuses calls for 2000 ms
    When calls that were sent once before arrive at 100 a second for 6 s
    Then the upstream gets 180 to 420 of them
    And its node offers calls: yes

  Scenario: Calls are rejected at once while the upstream refuses them
    Given a target beside an upstream that refuses all calls
    When calls arrive at 100 a second for 1 s
    Then the last ones end as refusing within 1 ms, to return within 2000 ms
    And its load report has no slots
    And its refusals count in no run time

  Scenario: A refused call that was a trial and was never sent makes way for the next one
    Given a target beside an upstream that refuses all calls
    When calls arrive at 100 a second for 1 s
    And a trial call ends before it is sent
    Then the next call is a trial call

  Scenario: A trial call is offered to one node at a time
    Given a target beside an upstream that refuses all calls
    When calls arrive at 100 a second for 1 s
    And 2000 ms pass at the target
    Then of 5 nodes that ask for its load 1 is offered a call
