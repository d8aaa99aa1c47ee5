Feature: Leaving costs nobody a request, with real processes

  Scenario Outline: <what>
    Given 4 nodes under real load
    When <load> are sent for 6 s while <what>
    Then no request was cut and each got its own whole answer
    And no booking ran twice
    And the upstream got no new work from <bound> s after it left

    Examples:
      | what                                         | load                                | bound |
      | an upstream leaves                           | look-ups, bookings and long streams | 3     |
      | a node is stopped with SIGTERM               | look-ups, bookings and long streams | 3     |
      | an upstream leaves while the platform is out | look-ups and long streams           | 3     |
