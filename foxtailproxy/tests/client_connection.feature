Feature: Connections to upstreams and nodes, when they end and when they are used again

  # Guards against a call that is sent on a connection that is being aborted: it was cut off, and its outcome was unknown.
  Scenario Outline: A connection that is aborted <when> is not used for the next exchange
    Given a connection whose exchange ends
    When it is aborted <when>
    Then the next exchange is on another connection

    Examples:
      | when                                  |
      | by the reader of the response         |
      | after bytes that came while it was idle |

  # Guards against a body that is taken for complete because a failed write had consumed the reset.
  Scenario: A response without a length is reset while its request is being sent
    Given a server that sends a part of a response without a length and resets the connection
    When the next part of the request is written before the reset is read
    Then the response ends as BodyTruncated

  Scenario Outline: A response to HEAD whose bytes include <more>
    Given a connection with a HEAD request
    When the response and <more> arrive in one read
    Then the connection is <state>

    Examples:
      | more                       | state       |
      | nothing else               | used again  |
      | the start of another one   | aborted     |

  # Guards against a call that waits until its deadline: a late copy of a response to HEAD was taken to have a body, which took all that followed.
  Scenario Outline: A response to HEAD with <framing> of a server that <tells> what it answers
    Given a connection with a HEAD request to a server that <tells> what it answers
    When the response with <framing> arrives
    Then the connection is <state>

    Examples:
      | framing   | tells       | state      |
      | a length  | tells       | aborted    |
      | chunks    | tells       | aborted    |
      | no length | tells       | aborted    |
      | a length  | never tells | used again |
      | no length | never tells | used again |

  # Guards against a request whose length is not backed by its body: the server takes the next request on the connection for the rest of it.
  Scenario Outline: A request <framing> whose body <fault> is not sent
    Given a connection that is kept open
    When a request <framing> is made whose body <fault>
    Then the exchange fails as <error>, and nothing was sent
    And the connection is aborted

    Examples:
      | framing       | fault                               | error         |
      | with a length | has ended, 2 bytes short            | BodyTruncated |
      | with a length | has ended, 2 bytes over             | BodyOverrun   |
      | with a length | has 2 bytes too many so far         | BodyOverrun   |
      | with a length | has ended and was read elsewhere    | BodyConsumed  |
      | in chunks     | has ended and was read elsewhere    | BodyConsumed  |
      | with a length | is being read elsewhere             | BodyConsumed  |
      | in chunks     | is being read elsewhere             | BodyConsumed  |
      | with a length | has failed                          | BodyTruncated |
      | in chunks     | has failed                          | BodyTruncated |

  Scenario Outline: A request <framing> whose body <fault> while it is sent
    Given a connection that is kept open
    When a request <framing> is made whose body <fault>
    Then the exchange fails as <error>, and <sent> was sent
    And the connection is aborted

    Examples:
      | framing       | fault                 | error          | sent                                                           |
      | with a length | ends 2 bytes short    | BodyTruncated  | content-length: 4\r\n\r\nab                                    |
      | with a length | goes on for 2 bytes   | BodyOverrun    | content-length: 4\r\n\r\nabcd                                  |
      | with a length | goes on after its end | BodyOverrun    | content-length: 4\r\n\r\nabcd                                  |
      | in chunks     | goes on after its end | BodyOverrun    | transfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n       |
      | with a length | fails                 | ConnectionLost | content-length: 4\r\n\r\nab                                    |
      | in chunks     | fails                 | ConnectionLost | transfer-encoding: chunked\r\n\r\n2\r\nab\r\n                  |

  Scenario Outline: A request <framing> whose body <event> is sent whole
    Given a connection that is kept open
    When a request <framing> is made whose body <event>
    Then the exchange is answered, and <sent> was sent
    And the connection is used again

    Examples:
      | framing       | event                | sent                                                                         |
      | with a length | has ended            | content-length: 4\r\n\r\nabcd                                                |
      | in chunks     | has ended            | transfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n                     |
      | with a length | arrives in two parts | content-length: 4\r\n\r\nabcd                                                |
      | in chunks     | arrives in two parts | transfer-encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n            |
      | in chunks     | has an empty part    | transfer-encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n            |

  # Guards against bytes of one request inside the next one on its connection.
  Scenario Outline: The body of an earlier request <framing> goes on while the next one is sent
    Given a connection whose earlier request <framing> had a body that is still referred to
    When the next request is sent, and the earlier body goes on
    Then no byte of it is sent
    And the connection is aborted

    Examples:
      | framing       |
      | with a length |
      | in chunks     |

  # Guards against a callback of one exchange that is called for the response of another.
  Scenario: A connection whose exchange had a callback for the end of its response is closed after the next one
    Given a connection that is kept open
    And its earlier exchange had a callback for the end of its response
    When the response to its next exchange has no length and ends with the connection
    Then the callback of the earlier exchange was not called
