Feature: HTTP sessions with callers
  The transcript of a session lists what the client sends and what it receives.

  Scenario Outline: <name>
    When a client runs the session <name>
    Then the transcript matches the golden file <name>

    Examples: requests that are served
      | name               |
      | keep-alive         |
      | pipelining         |
      | head               |
      | expect-continue    |
      | chunked-request    |
      | chunked-answer     |
      | http-1.0           |
      | hop-by-hop-headers |
      | answer-cut         |

    Examples: requests that are rejected, and the connection closed
      | name                     |
      | both-lengths             |
      | two-lengths              |
      | bad-chunk-size           |
      | bad-chunk-after-head     |
      | http-1.0-chunked         |
      | bare-line-feed           |
      | two-hosts                |
      | no-host                  |
      | space-before-colon       |
      | unknown-encoding         |
      | upgrade                  |
      | connect                  |
      | header-too-large         |
      | body-too-large           |
      | chunked-body-too-large   |
      | slow-header              |
      | idle                     |

  Scenario Outline: Pipelined requests that <may> overlap, <case>
    Given a connection with the pipelined requests 1, 2 and 3 that <may> overlap
    When the connection <state> and the responses <done> are ready
    Then the handler has received the requests <served>
    And the client has received <got>

    # Requests in progress are answered before the connection is closed.
    Examples:
      | may     | case                           | state       | done  | served | got         |
      | may     | all at once                    | stays open  | -     | 1 2 3  | nothing     |
      | may     | answered in another order      | stays open  | 3 1 2 | 1 2 3  | 1 2 3       |
      | may     | the first still runs           | stays open  | 3 2   | 1 2 3  | nothing     |
      | may     | the connection is to be closed | is to close | 2 1 3 | 1 2 3  | 1 2 3 close |
      | may not | one after the other            | stays open  | -     | 1      | nothing     |
      | may not | the first ends                 | stays open  | 1     | 1 2    | 1           |
      | may not | the connection is to be closed | is to close | 1     | 1      | 1 close     |

  Scenario: A connection whose response began before the shutdown is not closed without notice
    Given a connection with a response that has begun
    When the node is to stop and the response ends
    Then the connection stays open
    And the next response says that the connection closes, and it does
