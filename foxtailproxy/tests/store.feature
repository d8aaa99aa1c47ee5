Feature: Store client against the store's stand-in
  The sockets are real; the stand-in runs in the test's process.

  Background:
    Given a store

  Scenario Outline: The client calls <call>
    Given the object claims/a with value 1
    When the client calls <call>
    Then the call returns <result>

    Examples:
      | call                          | result                |
      | read claims/a                 | value 1               |
      | read claims/b                 | Missing               |
      | create claims/b 2             | value 2               |
      | create claims/a 2             | Conflict with value 1 |
      | update claims/a 2 at its own  | value 2               |
      | update claims/a 2 at an older | Conflict with value 1 |
      | put claims/a 3                | value 3               |
      | put claims/c 3                | value 3               |
      | delete claims/a at its own    | nothing               |
      | delete claims/a at an older   | Conflict with value 1 |
      | delete claims/b               | Missing               |

  Scenario Outline: The client calls <call> while the store is <fault>
    Given the object claims/a with value 1
    And a store that is <fault>
    When the client calls <call>
    Then the call returns <result>
    And the store holds <value> in claims/a <later>

    Examples:
      | fault          | call           | result      | value | later        |
      | out            | put claims/a 2 | Refused     | 1     | now          |
      | busy           | put claims/a 2 | Refused     | 1     | now          |
      | busy           | read claims/a  | Refused     | 1     | now          |
      | silent         | read claims/a  | Unreachable | 1     | now          |
      | losing answers | put claims/a 2 | Unreachable | 2     | now          |
      | late           | put claims/a 2 | Unreachable | 2     | after 800 ms |
      | slow           | put claims/a 2 | value 2     | 2     | now          |

  Scenario: A listing of several pages is complete
    Given 120 objects of the kind members
    When the client lists the kind members
    Then the listing has 120 objects, each once

  Scenario Outline: A watch <when>
    Given the object config/main with value 1
    When the client watches config and <when>
    Then the watch returns <result>

    Examples:
      | when                           | result           |
      | the object is changed to 2     | changed to 2     |
      | the object is removed          | removed          |
      | another kind changes           | nothing          |
      | the history was dropped before | HistoryGone      |
      | the history is dropped         | Unreachable      |
      | the object does not change     | nothing          |

  Scenario: A configuration is read again after the history is gone
    Given a node's configuration from the store at generation 3
    When the history is dropped and generation 5 is written
    Then the node has generation 5 within 3000 ms

  Scenario Outline: A configuration of <content> does not replace the current one
    Given a node's configuration from the store at generation 3
    When <content> is written as the configuration
    Then the node has generation 3 after 600 ms

    Examples:
      | content             |
      | unreadable bytes    |
      | an older generation |

  Scenario Outline: A node that does not watch starts and <case>
    Given a node that starts beside two watchers, and a store with generation 7
    When <told>
    Then it has generation 7 after <ms> ms and has read the store <reads> times

    Examples:
      | case                                  | told                                   | ms  | reads |
      | hears of the configuration at once    | a neighbour tells of it after 100 ms   | 400 | 0     |
      | nobody tells it of the configuration  | no neighbour tells of it               | 400 | 1     |

  Scenario Outline: A node joins a data centre with a roster while its store <fault>
    Given a store with a roster of "other" that <fault> for <ms> ms
    When a node joins after <start> and keeps the roster for 9000 ms
    Then the node knows "other"
    And its calls to the store cost at most <calls>

    # A listing that may be stale costs a tenth. After a restart a node reads the mark that an earlier
    # process may have left. The other node keeps the roster.
    Examples:
      | start         | fault              | ms   | calls |
      | a first start | answers            | 0    | 0.11  |
      | a restart     | answers            | 0    | 1.11  |
      | a first start | is out             | 2000 | 0.51  |
      | a restart     | is out             | 2000 | 1.51  |
      | a restart     | turns writes away  | 2000 | 1.11  |
      | a restart     | has a stale copy   | 9000 | 3.31  |

  Scenario Outline: A node that is alone joins while its store <fault>
    Given a store without rosters that <fault> for <ms> ms
    When a node joins after a first start and keeps the roster for 9000 ms
    Then the roster of its data centre holds "me"
    And its calls to the store cost at most <calls>

    Examples:
      | fault              | ms   | calls |
      | answers            | 0    | 2.21  |
      | is out             | 2000 | 3.5   |
      | turns writes away  | 2000 | 9     |
      | loses an answer    | 1500 | 8     |
      | holds a roster that cannot be read | 0 | 3.21 |

  Scenario Outline: A fleet of <count> nodes starts for the first time, listings are <lag> ms old
    Given a store without rosters whose listings are <lag> ms old
    When <count> nodes in <data_centers> data centres start within 300 ms and exchange records
    Then after 12 s each of them knows all others
    And the rosters hold all of them with their services
    And the calls to the store cost at most <calls> in all

    # One call for each node and more would be the price if each kept a record of its own.
    Examples:
      | count | data_centers | lag  | calls |
      | 2     | 2            | 300  | 8     |
      | 16    | 4            | 300  | 32    |
      | 195   | 8            | 0    | 100   |
      | 195   | 8            | 300  | 180   |
      | 195   | 8            | 3000 | 300   |

  Scenario: A fleet whose processes all restart at once knows all members after one listing
    Given a store without rosters whose listings are 300 ms old
    When 64 nodes in 8 data centres start within 300 ms and exchange records
    And after 12 s all of them restart without exchanging records
    Then each of them knows all others
    And the restart has cost at most 1.11 calls for each node

  Scenario Outline: A node <event>
    Given two nodes of a data centre, of which one keeps the roster
    When the other one <event>
    Then the roster holds it after <early> s, and after <late> s it does <hold>

    Examples:
      | event                        | early | late | hold     |
      | ends and does not come back  | 10    | 40   | not hold |
      | restarts within 3 s          | 10    | 40   | hold     |

  Scenario: The keeper of the roster ends
    Given two nodes of a data centre, of which one keeps the roster
    When the keeper ends and a third node joins
    Then the roster holds the third node after 10 s

  # Otherwise two such nodes would never know of each other.
  Scenario: All nodes of the roster are gone when two others join
    Given a store with a roster of "gone"
    When two nodes join 6 s apart, and hear of no peer that the store does not name
    Then the roster of their data centre holds both, and the second knows the first

  # A process that starts later must not use an upstream that has left.
  Scenario Outline: An upstream leaves while the store <fault>, and its node restarts
    Given a store whose listings are 5000 ms old and that <fault> for <ms> ms
    When the upstream of a node leaves, and the node restarts <after> ms later
    Then the new process knows that the upstream has left

    Examples:
      | fault             | ms   | after |
      | answers           | 0    | 100   |
      | is out            | 2000 | 8000  |
      | turns writes away | 2000 | 8000  |
      | loses an answer   | 1000 | 8000  |
