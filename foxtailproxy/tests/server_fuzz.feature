Feature: Random histories of a connection of a client
  Without real time. More seeds by hand: python -m foxtailproxy.tests.server_fuzz FIRST_SEED COUNT [sockets]

  # Guards against a response that looks whole and is not, and against bytes that belong to none (issue 43).
  Scenario Outline: What a client takes for whole are the responses to its requests, with <count> seeds from <first> <where>
    When a client plays the histories of <count> seeds from <first> <where>
    Then each response that looks whole to it is the one to its request, and none is lost without a cause

    Examples:
      | first | count | where             |
      | 0     | 1000  | in memory         |
      | 1000  | 1000  | in memory         |
      | 0     | 10    | over real sockets |

  # Guards against wrong ends that these seeds showed once.
  Scenario Outline: <seed>: <what>
    When a client plays the histories of 1 seeds from <seed> in memory
    Then each response that looks whole to it is the one to its request, and none is lost without a cause

    Examples:
      | seed | what                                                               |
      | 102  | a complete body that something else has read                       |
      | 36   | a body without a length whose beginning something else has read    |
      | 186  | a body that is longer than declared                                |
      | 89   | a last response that is lost, since the next request is malformed  |
      | 4549 | a part of a response to a client of HTTP/1.0 that half-closes      |
      | 299  | the same, whose node stops                                         |
      | 40   | a body behind the rejection of a HEAD request                      |

  # Guards against a generator that leaves out what the histories are for.
  Scenario: The histories hold all kinds of requests, responses and clients
    When the client histories of 1000 seeds from 0 are made
    Then at least 50 requests have each method, version, status and fate of the body, and 40 are invalid
    And at least 50 clients stay, half-close and leave, and 50 nodes are to close
