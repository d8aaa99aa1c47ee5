Feature: Upstreams that send bytes without end
  An upstream in trouble may send bytes until its connection is closed. The upstream is on a real socket.

  Scenario Outline: <what> without end and a call that <may> run again
    Given an upstream of the platform that sends <what> without end
    When a call that <may> run again has a deadline of 2000 ms and its answer is read
    Then it ended as <outcome> within 2200 ms
    And the node read at most 4 MB and closed the connection
    And 0 slots are in use

    Examples:
      | what                       | may     | outcome       |
      | a status line              | may     | upstream-lost |
      | a status line              | may not | upstream-lost |
      | one header                 | may     | upstream-lost |
      | headers                    | may     | upstream-lost |
      | headers                    | may not | upstream-lost |
      | interim answers            | may     | upstream-lost |
      | the answer to another call | may     | upstream-lost |
      | answers to other calls     | may     | upstream-lost |
      | answers to other calls     | may not | upstream-lost |
      | bytes that are no answer   | may     | upstream-lost |
      | a chunk extension          | may     | cut           |
      | one trailer                | may     | cut           |
      | one trailer                | may not | cut           |
      | bytes after the answer     | may     | answered      |

  Scenario Outline: <what> without end is cut at the deadline of a call that <may> run again
    Given an upstream of the platform that sends <what> without end
    When a call that <may> run again has a deadline of 500 ms and its answer is read
    Then it ended as cut within 700 ms
    And the node closed the connection
    And 0 slots are in use

    Examples:
      | what                    | may     |
      | a body without a length | may     |
      | a body without a length | may not |
      | a body in chunks        | may     |

  Scenario Outline: A caller that does not read <what> holds no more than 1 MB of it
    Given an upstream of the platform that sends <what> without end
    When a call that may run again has a deadline of 500 ms and its answer is not read
    Then the node read at most 4 MB and closed the connection
    And 0 slots are in use

    Examples:
      | what                    |
      | a body without a length |
      | a body in chunks        |

  Scenario Outline: A health check that is answered by <what> without end
    Given an upstream of the platform that sends <what> without end
    When its health is checked
    Then the node read at most 4 MB and closed the connection

    Examples:
      | what                     |
      | a status line            |
      | headers                  |
      | interim answers          |
      | answers to other calls   |
      | bytes that are no answer |
      | a body without a length  |
      | a body in chunks         |
      | one trailer              |
      | bytes after the answer   |
