Feature: A call on a connection that went silent is recovered
  Between two nodes stands a relay that loses track of connections, while new ones work. The
  sockets are real.

  Scenario Outline: <when>
    Given two nodes with a relay between them
    When a call that runs for <run_ms> ms is sent and <when>
    Then the call ends as <outcome> within <within> ms
    And the call ran <runs> times

    # A connection is taken as silent after 1,000 ms; then a new one asks.
    Examples:
      | when                                                    | run_ms | outcome               | within | runs |
      | nothing happens                                         | 50     | answered              | 1000   | 1    |
      | its connection goes silent while it runs                | 600    | answered              | 2500   | 1    |
      | its connection goes silent and it ends meanwhile        | 300    | answered              | 2500   | 1    |
      | it is sent on an idle connection that went silent       | 50     | not-run never-arrived | 2500   | 0    |
      | its connection is cut while it runs                     | 600    | answered              | 2500   | 1    |
      | its node restarts while it runs                         | 600    | unknown peer-lost     | 2500   | 1    |
      | the node cannot be reached any more                     | 600    | unknown peer-lost     | 5000   | 1    |

  Scenario: A call that arrives after its sender was told that it never did is not run
    Given two nodes with a relay between them
    When the sender asks about a call, and the call arrives after that
    Then the call ends as not-run sealed within 1000 ms
    And the call ran 0 times

  Scenario Outline: A call for <path> is a call and no question between nodes
    Given two nodes with a relay between them
    When a call for <path> is sent
    Then the call ends as answered within 1000 ms
    And the call ran 1 times

    Examples:
      | path        |
      | /attempts/1 |
      | /claims/1   |
      | /config     |

  Scenario: A large answer that stalls half-way is cut
    Given two nodes with a relay between them
    When a call is sent whose answer of 200000 bytes stalls after 100000
    Then the answer is cut within 2500 ms

  Scenario: A connection is used again after an answer with a length
    Given two nodes with a relay between them
    When 3 calls are sent one after another
    Then the relay saw 1 connections

  Scenario Outline: A caller leaves while its call <may> run again
    Given two nodes with a relay between them
    When a call that <may> run again is left by its caller after 100 ms
    Then its target is told <when_told>

    # One that may not run again goes on: its sender may ask about it for 1,500 ms.
    Examples:
      | may     | when_told     |
      | may     | within 500 ms |
      | may not | nothing       |
