Feature: Placement of calls in a large fleet

  # The nodes' own decision code under the load of the booking mesh of 195 nodes, scaled to the
  # number of nodes, in simulated time. Upstreams have noisy neighbours: for a quarter of the time
  # their work takes four times as long.
  Scenario Outline: <count> nodes decide on fresh load reports in calm
    Given the load of the booking mesh on <count> nodes
    When it is played for <ms> ms
    Then at most 1 in 10 choices of a peer's target rest on no load report or one older than 500 ms
    And each node sends at most <bytes> bytes of load queries a second

    Examples:
      | count | ms   | bytes |
      | 17    | 5000 | 11000 |
      | 67    | 4000 | 11000 |
      | 195   | 3000 | 11000 |

  # All targets of a data centre are busy in turn, and then all callers come at once.
  Scenario: At a crest load queries place calls with fewer sends, and callers get no less
    Given the load of the booking mesh on 64 nodes, 1.6 times as high, with a crest of 1.7 for 2 s
    When it is played for 6000 ms with seeds 1 and 2, with load queries and without
    Then with load queries there are fewer sends for each call
    And with load queries callers earn at least as much, within 3 in 100

  # Targets of a data centre are slow in turn. Calls that go elsewhere for a little less time cost
  # bytes on the links, and callers are not answered in time more often.
  Scenario Outline: Calls stay in their data centre at <scale> times the usual load
    Given the load of the ticketing mesh on 40 nodes, <scale> times as high
    When it is played for 5000 ms with seeds 1 and 2, with calls that leave by chance and by time
    Then by chance at most 1 in <part> bytes of calls by time cross between data centres
    And by chance callers earn at least as much, within 3 in 100

    # At a crest leaving pays for more of the calls.
    Examples:
      | scale | part |
      | 1     | 2    |
      | 1.6   | 1    |
