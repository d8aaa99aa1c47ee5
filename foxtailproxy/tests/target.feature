Feature: The local target and its upstream
  The upstream is a small fake on a real socket.

  Scenario Outline: An upstream that <habit> and a call that <may> run again
    Given an upstream that <habit>
    When 3 calls that <may> run again are run one after another
    Then they end as <outcomes>
    And the upstream opened <connections> connections

    Examples:
      | habit                                 | may     | outcomes                                | connections |
      | keeps connections open                | may     | answered answered answered              | 1           |
      | keeps connections open                | may not | answered answered answered              | 3           |
      | cuts each connection that is reused   | may     | answered answered answered              | 5           |
      | refuses by outcome                    | may not | upstream-refused upstream-refused upstream-refused | 3 |
      | does not listen                       | may not | target-down target-down target-down     | 0           |

  Scenario Outline: An upstream of the platform that <habit>
    Given an upstream of the platform that <habit>
    When 3 calls that <may> run again are run one after another
    Then they end as answered answered answered
    And each got the answer to its own request
    And the upstream opened <connections> connections

    # An answer to an earlier request is skipped, and the connection closed after the right one.
    Examples:
      | habit                                            | may     | connections |
      | answers each call once                           | may     | 1           |
      | answers each call again before the next one      | may     | 2           |
      | answers each call again before the next one      | may not | 2           |
      | answers a health check late, before the next one | may     | 2           |

  Scenario Outline: Calls that <may> run again keep their slots <until>
    Given a simulated upstream that never answers
    When 2 calls that <may> run again have a deadline of 100 ms, and <after> ms pass
    Then <taken> slots are in use

    # A call that may not run again keeps its slot for up to 100 ms after its deadline.
    Examples:
      | may     | until                        | after | taken |
      | may     | until their deadline         | 60    | 2     |
      | may     | not after it                 | 160   | 0     |
      | may not | while they may be overdue    | 160   | 2     |
      | may not | not after that               | 280   | 0     |

  # Guards against slots that stay taken for good after an error that no one expected.
  Scenario: Calls that end with an error of the node itself do not keep their slots
    When 3 calls whose attempt id cannot be written in a head are run
    Then 3 of them ended with an error
    And 0 slots are in use
