Feature: Failing upstreams and crashing requests, with real processes

  Scenario Outline: <fault>
    Given 4 nodes with an upstream each, as real processes
    When look-ups are sent for 6 s while <fault>
    Then at least <share> percent of the look-ups were answered
    And no answer was wrong or incomplete

    Examples:
      | fault                               | share |
      | an upstream is killed               | 99    |
      | an upstream fails everything fast   | 99    |
      | an upstream sheds everything        | 99    |
      | an upstream cuts its answers        | 99    |
      | an upstream becomes ten times slow  | 99    |
      | an upstream is replaced by a cold one | 99  |
      | a node is killed                    | 99    |

  Scenario: A request that crashes upstreams is quarantined after two crashes, other requests are answered
    Given 4 nodes with an upstream each, as real processes
    When look-ups are sent for 8 s while a request that crashes upstreams is sent again and again
    Then at most 2 upstreams crashed
    And the crashing request is quarantined on every node within 3 s
    And at least 95 percent of the look-ups were answered
    When an operator releases the request on one node
    Then that node no longer quarantines the request
