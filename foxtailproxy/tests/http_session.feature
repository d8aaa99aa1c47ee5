Feature: HTTP towards callers
  Each session is a list of what the client sends and what it gets back.

  Scenario Outline: <name>
    When a client plays the session <name>
    Then the session is as in the golden file <name>

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

    Examples: requests that are refused, and the connection closed
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

  Scenario Outline: Requests sent ahead that <may> overlap, <case>
    Given a connection with the requests 1, 2 and 3 sent ahead that <may> overlap
    When the connection <state> and the answers <done> come
    Then the requests <served> have been served
    And the client has got <got>

    # What a connection still serves is answered before it is closed.
    Examples:
      | may     | case                           | state       | done  | served | got         |
      | may     | all at once                    | stays open  | -     | 1 2 3  | nothing     |
      | may     | answered in another order      | stays open  | 3 1 2 | 1 2 3  | 1 2 3       |
      | may     | the first still runs           | stays open  | 3 2   | 1 2 3  | nothing     |
      | may     | the connection is to be closed | is to close | 2 1 3 | 1 2 3  | 1 2 3 close |
      | may not | one after the other            | stays open  | -     | 1      | nothing     |
      | may not | the first ends                 | stays open  | 1     | 1 2    | 1           |
      | may not | the connection is to be closed | is to close | 1     | 1      | 1 close     |
