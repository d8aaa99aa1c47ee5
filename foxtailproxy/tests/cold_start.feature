Feature: Limit on the requests to a cold upstream
  More requests than it bears crash a cold upstream. The upstream is a fake on an in-memory network.

  # Without the count at the send, calls whose connections open late arrive together.
  Scenario Outline: An upstream that bears <rate> requests a second gets <arrive> a second: <case>
    Given an upstream that bears <rate> requests a second while it is cold, <overage> times and <slack> more
    And its connections take up to <open> ms to open, and <habit>
    When calls arrive, and it <begins>, at <arrive> a second for 8 s
    Then from <from> ms on it gets at most <most> requests in any second while it is cold
    And it gets at least <least> requests while it is cold

    Examples:
      | case                            | rate | overage | slack | arrive | open | habit                           | begins                        | from | most | least |
      | cold from its start             | 10   | 1.5     | 8     | 100    | 1    | it keeps them open              | is announced as cold          | 0    | 23   | 70    |
      | connections open late           | 10   | 1.5     | 8     | 100    | 900  | it keeps them open              | is announced as cold          | 0    | 23   | 70    |
      | sends are repeated              | 10   | 1.5     | 8     | 100    | 1    | it cuts them        | is announced as cold          | 0    | 23   | 70    |
      | nothing beyond the rate         | 10   | 1       | 0     | 100    | 300  | it keeps them open              | is announced as cold          | 0    | 10   | 40    |
      | less than one request a second  | 0.5  | 1       | 0     | 20     | 1    | it keeps them open              | is announced as cold          | 0    | 1    | 2     |
      | it does not say if it is cold   | 10   | 1.5     | 8     | 100    | 1    | it keeps them open              | does not say if it is cold    | 0    | 23   | 70    |
      | it turns cold under load        | 10   | 1.5     | 8     | 100    | 900  | it keeps them open              | turns cold after 3000 ms      | 4000 | 23   | 30    |
      | it turns cold again             | 10   | 1.5     | 8     | 60     | 1    | it keeps them open              | turns cold twice              | 5000 | 23   | 20    |
      | few requests                    | 10   | 1.5     | 8     | 5      | 1    | it keeps them open              | is announced as cold          | 0    | 6    | 38    |

  Scenario Outline: <case> is not limited
    Given an upstream that bears <rate> requests a second while it is cold, 1.5 times and 8 more
    And its connections take up to 1 ms to open, and it keeps them open
    When calls arrive, and it <begins>, at 100 a second for 2 s
    Then it gets at least 198 requests

    Examples:
      | case                               | rate | begins                     |
      | a warm upstream                    | 10   | is announced as warm       |
      | an upstream without such a rate    | 0    | is announced as cold       |
      | one that does not say, without one | 0    | does not say if it is cold |

  Scenario: After the cold time the rate rises step by step
    Given an upstream that bears 10 requests a second while it is cold, 1.5 times and 8 more
    And its connections take up to 1 ms to open, and it keeps them open
    When calls arrive, and it turns cold at once for 2000 ms, at 300 a second for 6 s
    Then from 2000 ms to 2400 ms it gets 5 to 11 requests
    And from 2800 ms to 3200 ms it gets 16 to 30 requests
    And from 4500 ms to 5500 ms it gets 290 to 310 requests

  Scenario Outline: A call that can <can> its turn in time
    Given an upstream that bears 10 requests a second while it is cold, 1.5 times and 8 more
    And it is cold, and the calls of its burst have started
    When 3 calls wait and one arrives that may wait <hold> ms
    Then it <result>

    # The burst is 4 calls; the fifth starts after 100 ms.
    Examples:
      | can       | hold | result                                  |
      | wait for  | 500  | waits, and starts after 400 ms          |
      | not await | 200  | is rejected as cold, to return in 401 ms |

  Scenario: Load reports state the wait and the longer run of a cold target
    Given an upstream that bears 10 requests a second while it is cold, 1.5 times and 8 more
    And it is cold, and the calls of its burst have started
    Then its load report states a wait of 100 ms and a slowness of 2

  Scenario Outline: A report of <cold_ms> ms, <later> ms after one of 2000 ms
    Given an upstream that bears 10 requests a second while it is cold, 1.5 times and 8 more
    When it reports 2000 ms, and <cold_ms> ms after <later> ms
    Then it is cold until <until> ms

    # A report that says less may be an old one that was delayed.
    Examples:
      | cold_ms | later | until |
      | 0       | 500   | 2000  |
      | -1      | 500   | 2000  |
      | 500     | 1000  | 2000  |
      | 3000    | 1000  | 4000  |
      | 1000    | 5000  | 6000  |

  # Guards against run times near 0 in load reports, which draw calls to a target that runs none.
  Scenario: Calls that started before the upstream turned cold and are not sent count in no run time
    Given an upstream that bears 10 requests a second while it is cold, 1.5 times and 8 more
    And its connections take up to 50 ms to open, and it keeps them open
    When calls arrive, and it turns cold before any is sent
    Then they are rejected as cold
    And they count in no run time
