Feature: Exchanges that have ended, and the next one on their connection
  The reactors are in memory. A connection is used again as soon as its exchange has ended; nothing that still refers to
  that exchange acts on the next one.

  # Guards against a call that fails because of an earlier one on its connection.
  Scenario Outline: After <exchange> at <server>, <event> during the next call on its connection
    Given an ended exchange: <exchange> at <server>
    When the next call is sent on its connection
    And <event>
    Then the next call is answered

    Examples:
      | server      | exchange                       | event                         |
      | an upstream | a call                         | the earlier call is cancelled |
      | an upstream | a call                         | the earlier time limit passes |
      | an upstream | a call                         | the earlier body is cancelled |
      | an upstream | a call                         | the earlier body is paused    |
      | an upstream | a call answered in parts       | the earlier call is cancelled |
      | an upstream | a call answered in parts       | the earlier time limit passes |
      | an upstream | a call answered in parts       | the earlier body is cancelled |
      | an upstream | a call answered in parts       | the earlier body is paused    |
      | an upstream | a call answered without a body | the earlier call is cancelled |
      | an upstream | a call answered without a body | the earlier time limit passes |
      | an upstream | a call answered without a body | the earlier body is cancelled |
      | an upstream | a health check                 | the earlier time limit passes |
      | a peer      | a call                         | the earlier call is cancelled |
      | a peer      | a call                         | the earlier call is withdrawn |
      | a peer      | a call                         | the earlier time limit passes |
      | a peer      | a call                         | the earlier body is cancelled |
      | a peer      | a call                         | the earlier body is paused    |
      | a peer      | a call answered in parts       | the earlier call is cancelled |
      | a peer      | a call answered in parts       | the earlier time limit passes |
      | a peer      | a call answered in parts       | the earlier body is cancelled |
      | a peer      | a call with a large answer     | the earlier call is cancelled |
      | a peer      | a call with a large answer     | the earlier body is cancelled |
      | a peer      | a call with a large answer     | the earlier body is paused    |
      | a peer      | a call that was queried        | the earlier call is cancelled |
      | a peer      | a call that was queried        | the earlier time limit passes |
      | a peer      | a configuration                | the earlier time limit passes |
