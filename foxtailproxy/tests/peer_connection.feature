Feature: Calls to a peer whose connection opens late, breaks or goes silent
  The reactor is in memory. A connection to a peer has to open within 250 ms.

  # Guards against a call that is sent although the permission to run it ended while its connection opened.
  Scenario Outline: A call that <may> run again waits for a connection, <event>
    Given a client of a peer
    When a call that <may> run again with <left> ms left waits for a connection
    And <event>
    And the connection opens
    Then the call ended as <outcome>, and was sent with <sent> ms left

    Examples:
      | may     | left | event                           | outcome           | sent |
      | may     | 5000 | 200 ms pass for the peer        | nothing yet       | 4800 |
      | may not | 5000 | 200 ms pass for the peer        | nothing yet       | 4800 |
      | may     | 100  | 200 ms pass for the peer        | not-run deadline  | no   |
      | may not | 100  | 200 ms pass for the peer        | not-run deadline  | no   |
      | may not | 2000 | its node is paused for 4000 ms  | not-run deadline  | no   |
      | may     | 5000 | the caller of the call leaves   | not-run cancelled | no   |
      | may not | 5000 | the caller of the call leaves   | not-run cancelled | no   |

  # Guards against a call that runs on for nobody, because its caller left while its outcome was queried.
  Scenario Outline: A call that <may> run again is cancelled while <stage>
    Given a client of a peer
    When a call that <may> run again with 5000 ms left waits for a connection
    And the connection opens
    And it breaks, and <stage>
    And the caller of the call leaves
    Then the call ended as <outcome>, and its query is <query>

    Examples:
      | may     | stage              | outcome           | query     |
      | may     | the query is sent  | unknown cancelled | cut       |
      | may     | its query connects | unknown cancelled | not sent  |
      | may not | the query is sent  | nothing yet       | open      |

  # Guards against a node that gives up its own calls, or sends them elsewhere, since it was paused itself. After
  # the pause its timers run before it reads from its sockets.
  Scenario Outline: A node is paused for 4000 ms while a peer runs its call, and <bytes> in its socket
    Given a client of a peer
    When a call that <may> run again with 8000 ms left waits for a connection
    And the connection opens
    And its node is paused for 4000 ms, and <bytes> in its socket
    Then the call ended as <outcome> over <count> connections

    Examples:
      | may     | bytes                         | outcome     | count |
      | may     | the answer is                 | answered    | 1     |
      | may not | the answer is                 | answered    | 1     |
      | may     | half of a large answer is     | answered    | 1     |
      | may not | half of a large answer is     | answered    | 1     |
      | may     | a heartbeat is                | nothing yet | 1     |
      | may not | a heartbeat is                | nothing yet | 1     |
      | may     | nothing is                    | nothing yet | 2     |
      | may not | nothing is                    | nothing yet | 2     |

  # Guards against an answer of a server that has got the address of the peer.
  Scenario Outline: <server> answers <what> about a call that <may> run again
    Given a client of a peer
    When a call that <may> run again with 5000 ms left waits for a connection
    And the connection opens
    And <server> answers <what> in the place of the peer
    Then the call ended as <outcome> over <count> connections

    Examples:
      | may     | server                           | what      | outcome     | count |
      | may     | the peer                         | the call  | answered    | 1     |
      | may     | another server                   | the call  | nothing yet | 2     |
      | may not | another server                   | the call  | nothing yet | 2     |
      | may not | another server, with status 404, | the call  | nothing yet | 2     |
      | may not | the peer                         | the query | answered    | 2     |
      | may not | another server, with status 404, | the query | nothing yet | 2     |

  # Guards against a call that ran and is reported as "not run": it went to the process before over a connection
  # that was still open, and the process that its record names was queried, and had never received it.
  Scenario: A call is sent on connections to the process that its record names
    Given a client of a peer
    When a call that may not run again with 5000 ms left waits for a connection
    And the connection opens
    And it is answered
    And another process of the peer takes its place
    And a call that may not run again with 5000 ms left waits for a connection
    And the connection opens
    Then the connections carried 1 1 calls
