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
