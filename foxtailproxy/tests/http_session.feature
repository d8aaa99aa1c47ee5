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
