Feature: A call is sent to one target after another until one answers

  # A target is ID:<n>ms, which answers after n ms, ID:<n>ms500, which answers with status 500 after n ms,
  # ID:<n>ms500large, whose body does not end, ID:never, ID:REASON, which fails at once for that reason, or
  # ID:<n>ms-REASON, which fails after n ms. The usual run time is 100 ms, the objective 400 ms, the deadline 1000 ms.
  Scenario Outline: <case>
    Given targets <targets>
    When a call that <may> run again is dispatched with <attempts> attempts
    Then it ends as <outcome> after <ms> ms
    And it was sent to <sent> and cancelled at <stopped>

    Examples:
      | case                                          | targets                              | may     | attempts | outcome               | ms   | sent  | stopped |
      | the first answers                             | a:100ms b:100ms                      | may     | 2        | answered              | 100  | a     | -       |
      | the first is slow, the second wins            | a:900ms b:100ms                      | may     | 2        | answered              | 360  | a b   | a       |
      | the first is slow and wins all the same       | a:300ms b:100ms                      | may     | 2        | answered              | 300  | a b   | b       |
      | the first never answers                       | a:never b:100ms                      | may     | 2        | answered              | 360  | a b   | a       |
      | the first fails while the second runs         | a:270ms500 b:200ms                   | may     | 2        | answered              | 460  | a b   | -       |
      | a call that may not run again is sent once    | a:900ms b:100ms                      | may not | 2        | answered              | 900  | a     | -       |
      | one attempt is one target                     | a:900ms b:100ms                      | may     | 1        | answered              | 900  | a     | -       |
      | handed back, then answered elsewhere          | a:faster-elsewhere b:100ms           | may not | 1        | answered              | 100  | a b   | -       |
      | refused by the upstream, then answered        | a:upstream-refused b:100ms           | may not | 1        | answered              | 100  | a b   | -       |
      | two targets without room are enough           | a:overloaded b:overloaded c:100ms    | may     | 2        | not-run overloaded    | 0    | a b   | -       |
      | a target refuses all calls, another answers   | a:refusing b:refusing c:100ms        | may     | 2        | answered              | 100  | a b c | -       |
      | four that refuse all calls are enough         | a:refusing b:refusing c:refusing d:refusing e:100ms | may | 2 | not-run refusing | 0 | a b c d | -  |
      | an error is repeated elsewhere                | a:50ms500 b:100ms                    | may     | 2        | answered              | 150  | a b   | -       |
      | an error of a call that may not run again     | a:50ms500 b:100ms                    | may not | 2        | answered 500          | 50   | a     | -       |
      | a lost answer of one that may not run again   | a:upstream-lost b:100ms              | may not | 2        | unknown upstream-lost | 0    | a     | -       |
      | nobody is there                               | -                                    | may     | 2        | not-run no-target     | 0    | -     | -       |

  Scenario Outline: An error answer keeps its body when the call's other send ends as <reason>
    Given targets a:270ms500 b:200ms-<reason>
    When a call that may run again is dispatched with 2 attempts
    Then it ends as answered 500 after 460 ms
    And it was sent to a b and cancelled at -

    Examples:
      | reason           |
      | faster-elsewhere |
      | overloaded       |
      | upstream-lost    |

  Scenario: An error answer that is discarded while it arrives is not delivered after the call's other send fails
    Given targets a:270ms500large b:200ms-faster-elsewhere
    When a call that may run again is dispatched with 2 attempts
    Then it ends as unknown answer-cut after 460 ms
    And it was sent to a b and cancelled at -

  # The loss of an inner call makes the request fail that an upstream runs already.
  Scenario: An inner call is rejected for lack of room by up to four targets
    Given targets a:overloaded b:overloaded c:cold d:queue-full e:100ms
    When an inner call is dispatched with 2 attempts
    Then it ends as not-run queue-full after 0 ms
    And it was sent to a b c d and cancelled at -

  Scenario: Both sends are cancelled when the caller disconnects
    Given targets a:never b:never
    When a call that may run again is dispatched with 2 attempts
    And the caller disconnects after 500 ms
    Then it was sent to a b and cancelled at a b

  Scenario: Without a retry budget a call is not hedged
    Given targets a:900ms b:100ms
    And no retry budget
    When a call that may run again is dispatched with 2 attempts
    Then it ends as answered after 900 ms

  # Load reports are requested before a target is chosen.
  Scenario: A call whose caller disconnects while its target is chosen is not sent
    Given targets a:100ms
    And a placement that takes 20 ms
    When a call that may not run again is dispatched with 2 attempts
    And the caller disconnects after 10 ms
    Then it ends as not-run cancelled after 20 ms
    And it was sent to - and cancelled at -

  Scenario: A call that is answered while a second target is chosen is not hedged
    Given targets a:255ms b:100ms
    And a placement that takes 20 ms
    When a call that may run again is dispatched with 2 attempts
    Then it ends as answered after 275 ms
    And it was sent to a and cancelled at -

  # Guards against a call that is cancelled since the caller of another one with the same attempt id has left.
  Scenario: One of two calls with the same attempt id is cancelled
    Given targets a:100ms
    And a placement that takes 20 ms
    When a call that may run again is dispatched with 2 attempts
    And another call with its attempt id is dispatched and cancelled
    Then it ends as answered after 120 ms
    And the other call ended as not-run cancelled

  # Guards against a call that is sent again elsewhere since its own node was paused: the timers run before the
  # answer in the socket is read.
  Scenario Outline: A node is paused for 600 ms while a target runs its call, and <event>
    Given targets a:never b:100ms
    When a call that may run again is dispatched with 2 attempts
    And the dispatching node is paused for 600 ms, and <event>
    Then it ends as answered after <ms> ms
    And it was sent to <sent> and cancelled at <stopped>

    Examples:
      | event                  | ms  | sent | stopped |
      | the answer has arrived | 600 | a    | -       |
      | nothing has arrived    | 800 | a b  | a       |

  # Guards against a slot that is held until the deadline by an error answer that nobody reads.
  Scenario Outline: A large answer with status 500 comes before the other of two sends is answered with status <status>
    Given a call with two open sends
    When one gets a large answer with status 500, and the other one with status <status>
    Then the call is answered with status <status>, and the rest of the large answer is read

    Examples:
      | status |
      | 200    |
      | 502    |
