Feature: HTTP sessions with callers
  The transcript of a session lists what the client sends and what it receives.

  Scenario Outline: <name>
    When a client runs the session <name>
    Then the transcript matches the golden file <name>

    Examples: requests that are served
      | name                  |
      | keep-alive            |
      | pipelining            |
      | head                  |
      | expect-continue       |
      | chunked-request       |
      | chunked-answer        |
      | whole-answer          |
      | whole-answer-http-1.0 |
      | whole-answer-head     |
      | http-1.0              |
      | hop-by-hop-headers    |
      | answer-cut            |

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

  # Guards against a response in the place of another: a request that is invalid or late was rejected
  # with 408, "not run", as the response to the booking before it, which was running.
  Scenario Outline: A request that is rejected behind one that runs, because of <fault>
    Given a connection with a request that runs, and <fault> behind it
    When the running request is answered after <ms> ms
    Then the client reads the statuses <statuses> and the connection closes

    Examples:
      | fault                                 | ms   | statuses |
      | a head that stops half-way            | 1500 | 200 408  |
      | a head that is too large              | 1    | 200 431  |
      | bytes that are no request             | 1    | 200 400  |
      | a request without a host              | 1    | 200 400  |
      | a body that is too large              | 1    | 200 413  |
      | a body of chunks that is too large    | 1    | 200 413  |
      | a chunk of no size                    | 1    | 200 400  |
      | a request to change the protocol      | 1    | 200 501  |

  Scenario: Two requests run before one that is rejected
    Given a connection with the pipelined requests 1, 2 and 3 that may overlap
    When the client sends bytes that are no request
    And the connection stays open and the responses 3 2 1 are ready
    Then the client reads the statuses 200 200 200 400 and the connection closes

  # Guards against a rejection that promises "not run" for a request that was passed on already.
  Scenario Outline: A request whose handler <state> is cut off by a malformed chunk
    Given a request in chunks whose handler <state>
    When a malformed chunk follows
    Then the client is told that the outcome is <outcome>

    Examples:
      | state              | outcome |
      | waits for its body | not-run |
      | has begun to run it | unknown |

  # Guards against timeouts that count the time for which the process was suspended: a request that had
  # arrived by then was rejected or its connection closed before it was read.
  Scenario Outline: <what> arrives while the process is suspended
    Given a connection that waits for <what>
    When the process is suspended for 60000 ms and <what> arrives meanwhile
    Then the client reads the statuses 200 and the connection stays open

    Examples:
      | what                    |
      | the rest of a head      |
      | a further request       |

  # Guards against a header timeout that runs while the connection is not read, since many requests wait.
  Scenario: A head that is incomplete while nine requests wait
    Given a connection with nine requests that run, and the first part of a head behind them
    When no response is ready for 5000 ms
    And all nine are answered, and the rest of the head arrives
    Then the client reads ten statuses 200 and the connection stays open

  # Guards against a head that counts as too large because of the bytes of the request before it.
  Scenario Outline: A small head begins in the same read as <before>
    Given a connection that has received <first>
    When one read has <second>, the first part of a head and then the rest of it
    Then the client reads the statuses <statuses> and the connection stays open

    Examples:
      | before                     | first              | second                          | statuses    |
      | the end of a long body     | a head of a body   | a body of 600 bytes             | 200 200     |
      | a request with a long body | nothing            | a request with 600 bytes        | 200 200     |
      | fourteen requests          | nothing            | fourteen requests               | 200 200 200 200 200 200 200 200 200 200 200 200 200 200 200 |

  # Guards against the next response being taken for the end of one that is not as long as declared (issue 43).
  Scenario Outline: A response whose body is <fault> ends the connection
    Given a client that sends two requests, the first answered with a body that is <fault>
    Then the first response is cut, and nothing follows it

    Examples:
      | fault                                           |
      | already read                                    |
      | already read, without a length                  |
      | already read and still arriving                 |
      | already read, without a length, still arriving  |
      | longer than declared                            |
      | longer than declared and still arriving         |
      | shorter than declared                           |

  # Guards against a connection that is never closed, and keeps its node from stopping.
  Scenario Outline: A <method> request whose body is too large is rejected, and the connection closed
    Given a client that sends a <method> request whose body of chunks is too large
    Then the client reads one response with status 413, and the end of the connection

    Examples:
      | method |
      | PUT    |
      | HEAD   |

  # Guards against a part of a response that looks whole, since the client ended what it sends and only the end of the connection ends the body.
  Scenario Outline: A client of HTTP/<version> closes its sending side while it reads a response <framing>
    Given a connection whose HTTP/<version> client has read a part of a response <framing>
    When the client closes its sending side
    Then the client sees its connection <end>

    Examples:
      | version | framing          | end    |
      | 1.0     | without a length | reset  |
      | 1.1     | without a length | closed |
      | 1.1     | with a length    | closed |

  Scenario Outline: A node stops while its HTTP/<version> client reads a response <framing> of which <part> has arrived
    Given a connection whose HTTP/<version> client has read a part of a response <framing>
    When <part> of the response has arrived and the node stops
    Then the client sees its connection <end>

    Examples:
      | version | framing          | part | end    |
      | 1.0     | without a length | half | reset  |
      | 1.0     | without a length | all  | reset  |
      | 1.1     | without a length | half | closed |
      | 1.1     | with a length    | half | closed |

  # Guards against a reset that takes along the last response, before the client has read it.
  Scenario Outline: <what> behind the last response
    Given a connection whose last response is complete, with <what> behind it
    Then what the client sends is read for 500 ms before the close

    Examples:
      | what                                             |
      | nothing                                          |
      | a malformed request in the same read             |
      | a further request in the same read               |
      | a request that is answered later                 |
      | a request whose answer fails later               |
      | a request whose handler fails later              |

  # No client may take the length for that of a body (RFC 9112, 6.3); 204 must not have one (RFC 9110, 8.6).
  Scenario Outline: A response without a body, of status <status> to <method>, whose upstream declared <declared>
    Given a client that sends <method> and then GET, and an upstream whose head has status <status> and declares <declared>
    Then the first response has the framing <framing> and no body, and the second one follows it

    Examples:
      | method | status | declared  | framing           |
      | HEAD   | 200    | 5 bytes   | content-length: 5 |
      | HEAD   | 200    | 0 bytes   | none              |
      | HEAD   | 200    | no length | none              |
      | HEAD   | 404    | 5 bytes   | content-length: 5 |
      | HEAD   | 204    | 5 bytes   | none              |
      | HEAD   | 304    | 5 bytes   | content-length: 5 |
      | GET    | 304    | 5 bytes   | content-length: 5 |
      | GET    | 304    | no length | none              |
      | GET    | 204    | 5 bytes   | none              |
      | POST   | 204    | no length | none              |

  # Guards against a body, which a response to HEAD does not have.
  Scenario Outline: A HEAD request that is rejected because of <fault>
    Given a connection with a request that runs, and a HEAD request with <fault> behind it
    When the running request is answered after <ms> ms
    Then the client reads the statuses <statuses> and the connection closes
    And the rejection has no body

    Examples:
      | fault                             | ms   | statuses |
      | a head that stops half-way        | 1500 | 200 408  |
      | a head that is too large          | 1    | 200 431  |
      | too many headers                  | 1    | 200 431  |
      | a head that takes too much memory | 1    | 200 431  |
      | a header without a name           | 1    | 200 400  |
      | no host                           | 1    | 200 400  |
      | a body that is too large          | 1    | 200 413  |
      | a protocol to change to           | 1    | 200 501  |
      | a chunk of no size                | 1    | 200 400  |
