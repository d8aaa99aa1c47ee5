Feature: Quarantine of requests that crash upstreams

  Scenario Outline: <case>
    Given crashes of a request at <upstreams>
    When <ms> ms pass with a limit of 2 crashes and 1000 ms of quarantine
    Then the request is <blocked>

    Examples:
      | case                          | upstreams | ms   | blocked     |
      | one crash                     | a         | 0    | not blocked |
      | two upstreams                 | a b       | 0    | blocked     |
      | the same crash heard twice    | a a       | 0    | not blocked |
      | after its time                | a b       | 1500 | not blocked |

  Scenario: A request that ran to its end is not suspect
    Given crashes of a request at a
    When the request runs to its end
    Then nothing is suspect and the request is harmless

  Scenario Outline: A released request that is reported at <upstreams>
    Given crashes of a request at a b
    When an operator releases it and it is reported at <upstreams>
    Then the request is <blocked>

    Examples:
      | upstreams | blocked     |
      | a b       | not blocked |
      | a b c     | not blocked |
      | c d       | blocked     |
