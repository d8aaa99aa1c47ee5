Feature: The ends of answers that a review of the incident on dsae-pickhire found to be taken wrongly
  The connections are in memory unless a server is named, which is on a real socket.

  # Guards against a part of a second copy that becomes the end of a body.
  Scenario Outline: A second copy that ends <where> does not complete a body without a length
    Given a connection that has carried an earlier answer
    When its answer without a length is followed by the first <count> bytes of a copy of it and a close
    Then that answer is not complete

    Examples:
      | where                                 | count |
      | inside its status line                | 12    |
      | with its status line                  | 17    |
      | between CR and LF after a header      | 46    |

  # Guards against a part of a copy that becomes the end of a body because a quoted head is open where it begins.
  Scenario Outline: A copy that is cut in or behind its status line does not complete a body without a length that ends in "<text>"
    Given a connection that has carried an earlier answer
    When its answer without a length, which ends in "<text>", is followed by the first <count> bytes of a copy of it and a close
    Then that answer is not complete

    Examples:
      | text                         | count |
      | HTTP/1.1 503 Busy            | 16    |
      | HTTP/1.1 200 OK, X-Quoted: a | 14    |
      | HTTP/1.1 200 OK, X-Quoted: a | 17    |

  # Guards against a part of a copy that becomes the end of a body because its head arrived elsewhere or too long ago.
  Scenario Outline: A copy of an answer that <connection> connection carried ends after <count> bytes and does not complete a body
    Given a connection that has carried an earlier answer
    And <connection> connection to the same server has carried the answers to 3 calls with status 404
    When its answer without a length is followed by the first <count> bytes of the first of them and a close
    Then that answer is not complete

    Examples:
      | connection | count |
      | another    | 15    |
      | another    | 52    |
      | this       | 52    |

  # Guards against a part of an answer that looks whole: its copy is cut at the same place.
  Scenario Outline: A part of a body without a length and a copy <copy> that is cut likewise, from a server that <state>
    Given a connection that has carried an earlier answer, to a server that <state>
    When <count> bytes of its answer without a length are followed by a copy <copy> with as many, and a close
    Then that answer is <expected>

    Examples:
      | count | copy             | state | expected     |
      | 70    | with a length    | runs  | not complete |
      | 70    | in chunks        | runs  | not complete |
      | 0     | with a length    | runs  | not complete |
      | 70    | without a length | ends  | not complete |
      | 150   | without a length | runs  | complete     |

  # Guards against a whole answer that is refused since its copy is taken for that of a health check.
  Scenario Outline: A whole body without a length and a copy <copy>, which names its process before its attempt
    Given a connection that has carried an earlier answer, and a health check
    When its answer without a length, with the process first, is followed by a copy <copy>
    Then that answer is complete

    Examples:
      | copy             |
      | with a length    |
      | without a length |

  # Guards against an answer of the right size that ends with the first bytes of another one.
  Scenario Outline: The head of a copy of <whose> answer crosses the end of a body with a length, in <reads>
    Given a connection that has carried an earlier answer
    When the last <count> bytes of its answer with a length are those of a copy of <whose> answer, in <reads>
    Then that answer is not complete

    Examples:
      | whose       | count | reads     |
      | its own     | 20    | one read  |
      | its own     | 40    | two reads |
      | the earlier | 15    | one read  |
      | the earlier | 46    | two reads |

  # Guards against a whole answer that is refused because of its copy, and a wrong end whose copy was cut.
  Scenario Outline: A body with a length that ends inside a quoted head is followed by <what>
    Given a connection that has carried an earlier answer
    When its answer that ends inside a quoted head is followed by <what>
    Then that answer is <expected>

    Examples:
      | what             | expected     |
      | a copy of it     | complete     |
      | other bytes      | not complete |

  # Guards against an answer with the status or the length of another one, whose copy was cut in its head.
  Scenario Outline: A part of a copy that ends <where> precedes the answer
    Given a connection that has carried an earlier answer
    When a part of a copy that ends <where> precedes its answer
    Then its exchange has failed at once

    Examples:
      | where                                      |
      | inside a header before the attempt         |
      | inside a header after the length           |
      | inside a header after the attempt          |
      | inside its body with a length              |

  # Guards against a part of an answer that looks whole: a lost connection is found by a write, after which the end looks regular.
  Scenario Outline: A write is the first to find that the connection is lost, with <error>
    Given a connection that carries a request that is not sent yet, and a part of an answer without a length
    When a write fails with <error>, and the next read finds the end
    Then that answer is <expected>

    Examples:
      | error      | expected     |
      | ECONNRESET | not complete |
      | ETIMEDOUT  | not complete |
      | EPIPE      | complete     |
  # Guards against a part of an answer that looks whole: a copy that is cut in the same place agrees with it.
  Scenario Outline: An answer cut after <count> bytes of its body and a copy <framing> that is cut there, of a server that <state>
    Given a connection that has carried an earlier answer
    When its answer without a length and a copy <framing> are both cut after <count> bytes of their bodies by a close of a server that <state>
    Then that answer is not complete

    Examples:
      | count | framing          | state     |
      | 0     | with a length    | runs      |
      | 60    | with a length    | runs      |
      | 0     | in chunks        | runs      |
      | 60    | in chunks        | runs      |
      | 0     | without a length | has ended |
      | 60    | without a length | has ended |

  # Guards against an empty answer that looks whole: its cut body ends in a status line, which the copy's one extends.
  Scenario Outline: An answer cut behind <what> in its body and a whole copy of it
    Given a connection that has carried an earlier answer
    When its answer without a length, cut behind "<text>", is followed by a whole copy of it and a close
    Then that answer is not complete

    Examples:
      | what                                 | text                    |
      | the status line of an interim answer | HTTP/1.1 102 Processing |
      | a status line without a body         | HTTP/1.1 204 No Content |
      | the start of such a status line      | HTTP/1.1 304 No         |

  # Guards against other bytes in a body of the right size: they are the first ones of a copy whose rest follows.
  Scenario Outline: A copy that begins <count> bytes before the end of a body with a length does not become its end
    Given a connection that has carried an earlier answer
    When its answer with a length is followed by a copy of it <count> bytes before its end, in the same read
    Then that answer is not complete

    Examples:
      | count |
      | 12    |
      | 17    |
      | 46    |

  # Guards against the same where the rest of the copy comes later. Known to fail.
  Scenario: A copy that begins 17 bytes before the end of a body with a length does not become its end, in two reads
    Given a connection that has carried an earlier answer
    When its answer with a length is followed by a copy of it 17 bytes before its end, in the next read
    Then that answer is not complete

  # Guards against a copy that becomes part of a body because its head is not recognized.
  Scenario Outline: A copy of <what> does not become part of a body without a length
    Given a connection that has carried an earlier answer
    When its answer without a length is followed by a copy of <what> and a close
    Then that answer is not complete

    Examples:
      | what                                        |
      | an answer with 9 KiB of headers             |
      | an answer that another connection carried   |
      | it behind a status line                     |
      | an answer in HTTP/2.0                       |
      | an answer with status 799                   |

  # Guards against a copy that becomes part of a body because only the upstream knows that it has answered that call.
  Scenario Outline: The answer of a call that <end> does not become part of a body <framing>
    Given a connection that has carried an earlier answer
    And a call on another connection to the same server that <end>
    When its answer <framing> has the answer of that call inside
    Then that answer is not complete

    Examples:
      | end                             | framing          |
      | was cancelled                   | without a length |
      | was cancelled                   | with a length    |
      | was reset                       | without a length |
      | was reset                       | in chunks        |

  # Guards against an answer with the status or the headers of another one: a copy that is cut in its head comes before it.
  Scenario Outline: A copy that is cut behind <text> does not change the head of the answer that follows
    Given a connection that has carried an earlier answer
    When its answer follows a copy of another one that is cut behind "<text>"
    Then that answer is not complete

    Examples:
      | text                                               |
      | HTTP/1.1 404                                       |
      | HTTP/1.1 404 Not                                   |
      | HTTP/1.1 404 Not Found, X-Filler: b                |
      | HTTP/1.1 200 OK, X-Foxtailproxy-Not-Executed: true |
      | HTTP/1.1 404 Not Found, X-Filler: a,               |
      | HTTP/1.1 404 Not Found, X-Filler: status=          |
      | HTTP/1.1 404 Not Found, X-Foxtailproxy-Attempt-Id: |

  # Guards against the same where the answer's status line looks like a header that quotes one.
  Scenario: A copy that is cut between a header's name and value does not change the head of the answer that follows
    Given a connection that has carried an earlier answer
    When its answer follows a copy of another one that is cut behind "HTTP/1.1 404 Not Found, X-Filler:"
    Then that answer is not complete

  # Guards against a quoted error that becomes the answer: the head before it is read as the rest of a copy's head.
  Scenario Outline: The body of an answer that quotes an error follows a copy that is cut in a header
    Given a connection that has carried an earlier answer
    When its answer <framing>, whose body is an error response, follows a copy of the earlier one that is cut in a header
    Then that answer is not complete

    Examples:
      | framing          |
      | with a length    |
      | without a length |

  # Guards against a whole answer that is refused because a header of it quotes a status line.
  Scenario Outline: An answer with the header <header> is complete
    Given a connection that has carried an earlier answer
    When its answer has the header "<header>"
    Then that answer is complete

    Examples:
      | header                                |
      | X-Origin: HTTP/1.1 200 OK             |
      | X-Origin: status="HTTP/1.1 200 OK"    |
      | X-Origin: status=HTTP/1.1 200 OK      |
      | X-Origin: 10.0.0.1,HTTP/1.1 200 OK    |
      | X-Origin: http://a.example/HTTP/1.1   |

  # Guards against a whole answer that is refused although its framing proves its end.
  Scenario Outline: A body <framing> that ends inside a quoted head is complete
    Given a connection that has carried an earlier answer
    When its answer <framing> ends with the first bytes of a head
    Then that answer is complete

    Examples:
      | framing       |
      | with a length |
      | in chunks     |

  # Guards against bytes that belong to no response, and of which the log tells nothing.
  Scenario Outline: Bytes behind an answer <when> are logged with its attempt
    Given a connection that has carried an earlier answer
    When <bytes> follows that answer <when>
    Then the log names attempt 1, and no further request is sent there

    Examples:
      | bytes                | when                      |
      | a copy of it         | after it                  |
      | the tail of a copy   | after it                  |
      | a copy of it         | in the read of the answer |
      | the tail of a copy   | in the read of the answer |

  # Guards against a node that stands still while it searches a body.
  Scenario Outline: The search of a body of 10 KiB of <what> takes less than 50 ms
    When 10 KiB of <what> are searched for heads <count> bytes at a time
    Then the search takes less than 50 ms

    Examples:
      | what                             | count |
      | plain text                       | 10240 |
      | headers                          | 10240 |
      | headers                          | 64    |
      | headers that hold a status line  | 10240 |
      | status lines in one line         | 10240 |

  # Guards against a part of an answer that looks whole: another process answers for the one that was killed.
  Scenario: The process is killed and replaced while the reader of its answer waits
    Given a server that sends a part of a response without a length, ends, and is replaced by another process after 100 ms
    When the reader of the response goes on after that
    Then that answer is not complete

  # Guards against a part of an answer that looks whole: its end waits behind bytes that a slow reader has not taken.
  Scenario: The process is killed and replaced while the reader of a large answer is slow
    Given a server that sends as much of a large response as the network takes, ends, and is replaced after 100 ms
    When the reader of the response goes on after that
    Then that answer is not complete

  # Guards against a part of an answer that looks whole: the server has closed all connections that watched it.
  Scenario: The process closes unused connections, and is killed and replaced while the reader of a large answer is slow
    Given a server that sends as much of a large response as the network takes, closes unused connections, ends after 1.5 s, and is replaced after 1 s
    When the reader of the response goes on 3 s after its start
    Then that answer is not complete

  # Guards against a whole answer that is refused because its process ended after it, and before its reader went on.
  Scenario: The process ends after a whole answer, while the reader of that answer waits
    Given a server that closes a whole response without a length and ends 50 ms later
    When the reader of the response goes on after that
    Then that answer is complete

  # Guards against a whole answer that is refused because its end was looked for only after its process had ended.
  Scenario: The end of an answer without a length is noticed as it arrives, while its reader waits
    Given a connection whose reader takes no more of an answer without a length
    When the server closes the connection
    Then it is checked whether the server runs, before any timer has run

  # Guards against a part of an answer that looks whole since the check had begun before the server was killed.
  Scenario Outline: A server closes <when> the check that the end of another connection has caused
    Given a connection whose reader takes no more of an answer without a length
    When another connection to the server ends, and the server closes <when> the check, which finds that it <verdicts>
    Then that answer is <expected>

    Examples:
      | when   | verdicts                   | expected     |
      | during | runs, and later that it does not | not complete |
      | during | runs, and later that it runs     | complete     |
      | after  | runs, and later that it does not | not complete |
      | after  | runs, and later that it runs     | complete     |
      | during | does not run                     | not complete |

  # Guards against an answer that never ends for its reader.
  Scenario: The check whether the server runs breaks off with an error
    Given a connection whose reader takes no more of an answer without a length
    When the server closes, and the check breaks off with an error
    Then the reader of that answer learns that it is cut

  # Guards against a whole answer that is refused because the server has no room for one more connection.
  Scenario: A whole response without a length ends while the server accepts no further connection
    Given a server whose queue of new connections is full when it closes a whole response without a length
    When the reader of the response waits for its end
    Then that answer is complete

  # Guards against a whole early answer that is refused since the rest of the request could not be sent.
  Scenario: A whole response without a length is closed before the rest of a long request is written
    Given a server that closes a whole response without a length before it has got the request
    When two more parts of the request are written before the close is read
    Then that answer is complete

  # Guards against a look-up that fails on a connection that the server had closed as idle, like a used one.
  Scenario: A look-up is sent on the connection that confirmed the end of an earlier answer as the upstream closes it
    Given an upstream that resets connections that were idle when a request arrives, and answers without a length
    When two look-ups are sent, with a pause between them
    Then both are answered

  # Guards against a part of an answer that looks whole, and a whole one that is refused.
  Scenario Outline: A response without a length ends at a server that <state> and <does>
    Given a server that <state>, closes a response without a length and <does>
    When the reader of the response waits for its end, with another connection open
    Then that answer is <expected>

    Examples:
      | state         | does                                                | expected     |
      | runs          | closes further connections, as one that is full     | complete     |
      | runs          | resets further connections, as one that is full     | complete     |
      | runs          | refuses further connections                         | not complete |
      | leaves        | refuses further connections, as it ends its work    | complete     |
      | runs          | ends                                                | not complete |
      | leaves        | ends                                                | not complete |
      | runs          | ends behind a relay that closes further connections | not complete |
      | runs          | ends behind a relay that resets further connections | not complete |
      | leaves        | ends behind a relay that closes further connections | not complete |
      | is replaced   | ends, and another process has its address           | not complete |
      | leaves, is replaced | ends its work, and another process has its address  | complete     |

  # Guards against a call that waits behind the connection of the check, until its deadline.
  Scenario: A server that serves one connection at a time gets a call on a new connection after an answer without a length
    Given a server that serves one connection at a time, without a length
    When two calls are sent, each on a new connection
    Then both get their answers within 1000 ms

  # Guards against a call that waits for a slot although the upstream has answered the one before.
  Scenario: A call gets the slot of an answer without a length whose end is being confirmed
    Given an upstream that answers without a length, and a check of its ends that takes long
    When one call more than it has slots is sent
    Then each has its answer, and is complete after the check

  # Guards against a call that waits behind the connection of the check, which is kept for a later one.
  Scenario Outline: A server with one slot that serves one connection at a time gets a call <when> the check
    Given a server that serves one connection at a time, without a length
    When two calls are sent for its only slot, the second <when> the check
    Then both get their answers within 1000 ms

    Examples:
      | when   |
      | before |
      | during |
