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
      | it was removed and is back     | changed to 3     |
      | it was changed and is gone     | removed          |
      | the store has been restored    | HistoryGone      |

  # Guards against answers of two eras that count as one state.
  Scenario: A restore from an older copy begins another era, in which what was written since is gone
    Given the object config/main with value 1
    When the store takes a copy, config/main becomes 2, and the store comes back from its copy
    Then the client notices one rise of the era, and reads value 1 in it

  # Guards against a watcher that goes on from a revision of the era before.
  Scenario: A configuration that is written after a restore is adopted
    Given a node's configuration from the store at generation 3
    When the store comes back from a copy, and generation 5 is written
    Then the node has generation 5 within 3000 ms

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

  # A stale read would bring routes back that were withdrawn before the node started, until a watcher
  # that may have ended as well announces the newer configuration.
  Scenario Outline: A node that does not watch starts and <case>
    Given a node that starts beside two watchers, and a store with generation 7
    When <told>
    Then it has generation 7 after <ms> ms and has read the store <reads> times

    Examples:
      | case                                  | told                                   | ms  | reads |
      | hears of the configuration at once    | a neighbour tells of it after 100 ms   | 400 | 0     |
      | nobody tells it of the configuration  | no neighbour tells of it               | 400 | 1     |

  Scenario Outline: A node joins while its store <fault>
    Given the store <fault> for <ms> ms
    When a node joins and refreshes its record for 6000 ms
    Then the store holds the node's record and the node knows all members
    And its calls to the store cost at most <calls>

    # A listing that may be stale costs a tenth. A new node creates its record and lists once more;
    # the record of an earlier process is replaced only if its address or a port differs.
    Examples:
      | fault                             | ms   | calls |
      | answers                           | 0    | 2.11  |
      | is out                            | 2000 | 8     |
      | turns writes away                 | 2000 | 12    |
      | loses an answer, others join late | 200  | 5.21  |
      | holds an older record             | 0    | 1.11  |
      | holds a record of another address | 0    | 2.11  |

  # Guards against members that no node can reach, which use up the pings and pushes of all nodes.
  Scenario Outline: Records of another writer with <flaw> are not accepted from the store, the others are
    Given a store with 40 records of another writer that have <flaw>
    When a node joins and its log is captured
    Then it knows no member but the others, and logged at most one line for each listing

    Examples:
      | flaw                            |
      | unreadable bytes as its address |
      | a host name as its address      |
      | a null byte in its address      |
      | no address                      |
      | no node id                      |
      | a peer port above 65535         |
      | a gossip port below 0           |
      | a gossip port of 0              |
      | a state that is not named       |
      | a service that is no text       |
      | an incarnation of 64 bits       |
      | an incarnation of more bits     |
      | a start of more bits            |
      | bytes that are no JSON          |
      | half a character                |
      | a deep nesting                  |

  # Otherwise processes that start later take the node that has left for a member.
  Scenario Outline: A node that leaves while its <write> takes effect late leaves no record behind
    Given a store that holds <held> and applies the writes of a record <delay> ms late
    When a node joins and leaves <after> ms later
    And <delay> ms and some more have passed
    Then the store holds no record of the node

    Examples:
      | write        | held                        | delay | after |
      | registration | nothing                     | 300   | 100   |
      | correction   | a record of another address | 300   | 100   |
      | correction   | a record of another address | 300   | 400   |
      | registration | nothing                     | 0     | 100   |

  # Guards against an acknowledgement whose record is lost with all nodes: the upstream that left is
  # in use again after their restart.
  Scenario Outline: The target of a node leaves while its store <fault>
    Given a node that has joined, and a store that <fault> for <ms> ms from then on
    When its target leaves
    Then the leaving counts as stored from <first> to <last> ms after the end of the fault
    And a later process at the same address knows of the leaving, and so does the one after it

    Examples:
      | fault             | ms   | first | last |
      | answers           | 0    | 0     | 100  |
      | is slow           | 0    | 0     | 400  |
      | is out            | 4500 | 0     | 2000 |
      | turns writes away | 4500 | 0     | 2000 |
      | loses answers     | 2000 | -2000 | 2000 |

  # Guards against a new process that replaces the record of the one before without having read it.
  Scenario Outline: Two processes of a node start at <address> while its store <fault>
    Given a node that stored the leaving of its target, and a store that <fault> at each start
    Then a later process at <address> knows of the leaving, and so does the one after it

    Examples:
      | fault             | address          |
      | answers           | the same address |
      | answers           | another address  |
      | is out            | the same address |
      | is out            | another address  |
      | turns writes away | another address  |
      | loses answers     | another address  |
      | is slow           | another address  |
