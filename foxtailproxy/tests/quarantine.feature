Feature: Quarantine of requests that crash upstreams

  Scenario Outline: <case>
    Given a request that crashed <upstreams>
    When <ms> ms pass with a limit of 2 crashes and 1000 ms of quarantine
    Then the request is <blocked>

    Examples:
      | case                          | upstreams | ms   | blocked     |
      | one crash                     | a         | 0    | not blocked |
      | two upstreams                 | a b       | 0    | blocked     |
      | the same crash heard twice    | a a       | 0    | not blocked |
      | after its time                | a b       | 1500 | not blocked |

  Scenario: A completed request is not suspect
    Given a request that crashed a
    When the request runs to completion
    Then no request is suspect and this one is completed

  Scenario Outline: A released request is then reported to have crashed <upstreams>
    Given a request that crashed a b
    When an operator releases it and it is reported to have crashed <upstreams>
    Then the request is <blocked>

    Examples:
      | upstreams | blocked     |
      | a b       | not blocked |
      | a b c     | not blocked |
      | c d       | blocked     |
