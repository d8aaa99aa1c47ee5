Feature: The bytes that a caller reads of hedged look-ups, on one connection with requests sent ahead
  The network is in memory. A look-up is sent to two targets; a second look-up follows on the caller's connection.

  # Guards against a caller that takes the beginning of its next answer for the body of a failure (issue 43).
  Scenario Outline: A failure of <size> bytes, over <hops>, while the other target ends as <reason>
    Given a caller whose look-ups are hedged, over <hops>
    When the first target answers with status 500 and <size> bytes, and then the second one ends as <reason>
    Then the caller reads a whole response with status 500 and another one behind it

    Examples:
      | hops     | size | reason           |
      | one hop  | 24   | faster-elsewhere |
      | two hops | 24   | faster-elsewhere |
      | one hop  | 0    | faster-elsewhere |
      | two hops | 700  | overloaded       |
      | two hops | 24   | upstream-lost    |
