Feature: Inner calls, which an upstream makes while it runs a request
  If an inner call is lost, the request that made it fails after it has taken a slot.

  # A call is KIND PRIORITY; the first letter is its name. The slot is taken, and passed on in turn.
  Scenario Outline: Waiting calls run in the order <order>: <case>
    Given one slot in use and these calls waiting: <calls>
    When the slot is passed on until none waits
    Then they ran in the order <order>

    Examples:
      | case                                | calls                         | order |
      | an inner call before a new one      | a:new:7 b:inner:7             | b a   |
      | also one that is more important     | a:new:5 b:inner:7             | b a   |
      | none over a more important new one  | a:new:9 b:inner:7             | a b   |
      | inner calls in turn                 | a:inner:7 b:inner:7 c:new:7   | a b c |

  # Calls usually run 100 ms; 9 wait before them at one slot. Without this, they were overloaded.
  Scenario Outline: <kind> call that is sent for the <number> time, with an objective of 400 ms and <left> ms left
    Given one slot in use and 9 calls waiting that run 100 ms
    When the <kind> call arrives on its send <number> with <left> ms left
    Then it <result>

    Examples:
      | kind  | number | left | result                   |
      | new   | 1      | 5000 | is rejected: overloaded  |
      | new   | 3      | 5000 | is rejected: overloaded  |
      | inner | 1      | 5000 | is rejected: overloaded  |
      | inner | 3      | 5000 | waits                    |
      | inner | 3      | 900  | is rejected: overloaded  |

  Scenario Outline: A call named <name> while the upstream runs p and a.b, and q waits
    Given an upstream that runs p of depth 1 and a.b of depth 2, while q waits
    Then a call named <name> has the depth <depth>

    Examples:
      | name  | depth |
      | p.1   | 2     |
      | a.b.c | 3     |
      | p     | 0     |
      | p.    | 0     |
      | .p    | 0     |
      | q.1   | 0     |
      | a.1   | 0     |
      | x.p.1 | 0     |
