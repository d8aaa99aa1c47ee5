Feature: No request fails when an upstream or a node leaves, with real processes

  Scenario Outline: <what>
    Given 4 nodes with an upstream each, as real processes
    When <load> are sent for 6 s while <what>
    Then each request got a correct and complete answer
    And no booking ran more than once
    And the upstream ran no new request from <bound> s after it began to leave

    Examples:
      | what                                         | load                                | bound |
      | an upstream leaves                           | look-ups, bookings and long streams | 3     |
      | a node is stopped with SIGTERM               | look-ups, bookings and long streams | 3     |
      | an upstream leaves while the platform is out | look-ups and long streams           | 3     |
