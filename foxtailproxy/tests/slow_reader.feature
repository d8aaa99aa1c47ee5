Feature: Callers that read slowly, and bodies that wait for their consumer

  # Guards against a planned stop that cuts answers: the process ended while their last bytes were in its
  # own write buffers.
  Scenario: A connection is busy until its response is sent
    Given a server that has sent all it can of a response, to a client that does not read
    Then the connection counts as busy
    When the client reads to the end of the response
    Then the client has the whole response and no connection counts as busy

  # Guards against connections that stay open for good: the close was dropped while the client read slowly.
  Scenario: A connection that closes after a response closes once a slow client has read it
    Given a server that has sent all it can of a last response, to a client that does not read
    When the client reads to the end of the response
    Then the client has the whole response and the connection closes
