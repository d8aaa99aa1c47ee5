Feature: Load queries before a call is placed

  # A peer answers after N ms, is silent, or answers twice: once after N ms and again 100 ms later.
  # Its load has as many running calls as its number, a=1, b=2, c=3.
  Scenario Outline: Queries to peers that answer <answers>
    Given peers whose nodes answer <answers>
    When their load is queried for at most <wait> ms
    Then the query ends after <ms> ms, and the reported running calls are <running>
    And the avoided peers are <avoided>

    Examples:
      | answers                 | wait | ms | running     | avoided |
      | a:2 b:3                 | 20   | 3  | a:1 b:2     | -       |
      | a:2 b:silent            | 20   | 20 | a:1 b:-     | b       |
      | a:2 b:40                | 20   | 20 | a:1 b:-     | b       |
      | a:silent b:silent       | 20   | 20 | a:- b:-     | a b     |
      | a:2 b:twice-3           | 20   | 3  | a:1 b:2     | -       |
      | a:2 b:from-elsewhere-3  | 20   | 20 | a:1 b:-     | b       |
      | a:2 b:leaving-3         | 20   | 3  | a:1 b:0     | b       |
      | a:2 b:malformed-3       | 20   | 20 | a:1 b:-     | b       |
      | a:2 b:3                 | 1    | 0  | a:1 b:2     | -       |

  Scenario: A report is used again while it is fresh
    Given peers whose nodes answer a:2
    When their load is queried for at most 20 ms
    And 90 ms later their load is queried for at most 20 ms
    And 110 ms later their load is queried for at most 20 ms
    Then 2 queries were sent

  Scenario: A silent node is not waited for again until a second has passed
    Given peers whose nodes answer a:silent
    When their load is queried for at most 20 ms
    And 300 ms later their load is queried for at most 20 ms
    Then 1 query was sent
    And 800 ms later their load is queried for at most 20 ms
    And 2 queries were sent

  # The second copy of an answer comes after another query to the same peer.
  Scenario: A late second copy of an answer is not taken for the answer to a later query
    Given peers whose nodes answer a:twice-150
    When their load is queried for at most 20 ms
    And 600 ms later their load is queried for at most 20 ms
    Then the reports that were recorded are 1

  Scenario: An answer to an earlier process at the same address is ignored
    Given peers whose nodes answer a:40
    When their load is queried for at most 20 ms by a process that then ends
    And another process queries the same peers for at most 20 ms
    Then the answer to the earlier process is ignored

  Scenario Outline: A budget of <budget> B/s allows queries and keeps a reserve for <reserved>
    Given peers whose nodes answer a:2
    And a budget of <budget> B/s of which nothing was used for <rest> ms
    When 300 queries are sent within 1000 ms
    Then at most <bytes> bytes were sent, and <reserved> can still be sent

    Examples:
      | budget | rest  | bytes | reserved |
      | 11000  | 0     | 4400  | answers  |
      | 11000  | 10000 | 20900 | pings    |

  Scenario: What two kinds of calls know of one target is kept
    Given peers whose nodes answer a:2
    When the load for "lookup" is queried, and 500 ms later that for "booking"
    Then the usual run times at a are known for "lookup" and "booking"

  # Each query would cost busy nodes work, and the call would wait in vain.
  Scenario: Nodes that answer late are queried less often
    Given peers whose nodes answer a:60 b:60 c:60 d:60 e:60 f:60 g:60 h:60
    When one after the other is queried for at most 20 ms, one each 60 ms, 100 times
    Then at most 45 queries were sent
    And when they answer within 2 ms again, each is queried in its turn after 6 s
