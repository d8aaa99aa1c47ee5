Feature: The upstream beside a node
  The upstream is a small fake on a real socket.

  Scenario Outline: An upstream that <habit> and a call that <may> run again
    Given an upstream that <habit>
    When 3 calls that <may> run again are sent one after another
    Then they end as <outcomes>
    And the upstream opened <connections> connections

    Examples:
      | habit                                 | may     | outcomes                                | connections |
      | keeps connections open                | may     | answered answered answered              | 1           |
      | keeps connections open                | may not | answered answered answered              | 3           |
      | cuts each connection that is reused   | may     | answered answered answered              | 5           |
      | refuses by outcome                    | may not | upstream-refused upstream-refused upstream-refused | 3 |
      | does not listen                       | may not | target-down target-down target-down     | 0           |

  Scenario Outline: Calls that <may> run again keep their slots <until>
    Given an upstream that never answers
    When 2 calls that <may> run again have 100 ms, and <after> ms pass
    Then <taken> slots are taken

    # The calls may be overdue for 100 ms.
    Examples:
      | may     | until                        | after | taken |
      | may     | until their deadline         | 60    | 2     |
      | may     | not after it                 | 160   | 0     |
      | may not | while they may be overdue    | 160   | 2     |
      | may not | not after that               | 280   | 0     |
