Feature: Runs whose outcome can be queried repeatedly
  Answers are kept for 1,000 ms and up to 1,000 bytes; an ended run is kept for a minute.

  Scenario Outline: <case>
    Given a table of runs
    When a run ends with an answer of <size> bytes and <more> other runs end after it
    And <later> ms pass for the runs
    Then a query for the first run returns <result>

    Examples:
      | case                             | size | more | later  | result                  |
      | an answer is given again         | 100  | 0    | 0      | answer                  |
      | an answer is kept for a time     | 100  | 0    | 2000   | unknown answer-not-kept |
      | memory has a bound               | 100  | 10   | 0      | unknown answer-not-kept |
      | an answer without a body         | 0    | 10   | 0      | answer                  |
      | too large to be kept             | 5000 | 0    | 0      | unknown answer-not-kept |
      | after its time it is not known   | 100  | 0    | 130000 | nothing                 |

  Scenario Outline: Answers kept for longer than a minute, <later> ms later
    Given a table of runs that keeps answers for 200000 ms
    When a run ends with an answer of 100 bytes and 1 other runs end after it
    And <later> ms pass for the runs
    Then a query for the first run returns <result>

    Examples:
      | later  | result  |
      | 130000 | answer  |
      | 230000 | nothing |

  Scenario: An answer whose body something else has read is not kept as an empty one
    Given a table of runs
    When a run ends with an answer whose body something else has read
    Then a query for the first run returns unknown answer-cut

  Scenario: A sealed run never starts
    Given a table of runs
    When a run is sealed and then opened
    Then the run has ended as not-run sealed

  Scenario: All callbacks get the outcome
    Given a table of runs
    When 3 callbacks are registered for a run that ends with an answer
    Then each callback gets the whole answer

  # The sender queries a call again only after it has given up on the earlier connection.
  Scenario: The latest callback gets an answer that is too large to be kept
    Given a table of runs
    When 3 callbacks are registered for a run that ends with an answer of 5000 bytes
    Then the callbacks get unknown answer-not-kept, unknown answer-not-kept, answer
