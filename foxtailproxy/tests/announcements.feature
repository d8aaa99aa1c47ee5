Feature: Announcements of upstream processes, the processes that left, and the shared retry budget

  Scenario Outline: <case>
    Given a target that was announced as <first>
    When it is announced as <then>
    Then the target is <state> with process <process>

    # Instance, start time in ms, sequence, and "leaving" if it takes no new work.
    Examples:
      | case                                             | first    | then            | state   | process |
      | the same process once more                       | a 100 1  | a 100 2         | serving | a 100   |
      | it leaves                                        | a 100 1  | a 100 2 leaving | leaving | a 100   |
      | a late announcement from before it left          | a 100 5 leaving | a 100 4  | leaving | a 100   |
      | it says that it serves after it left             | a 100 5 leaving | a 100 6  | leaving | a 100   |
      | a new process                                    | a 100 9  | b 200 1         | serving | b 200   |
      | a new process with the same name                 | a 100 9 leaving | a 200 1  | serving | a 200   |
      | an old process is announced late                 | b 200 1  | a 100 9         | serving | b 200   |
      | an old process leaves late                       | b 200 1  | a 100 9 leaving | serving | b 200   |
      | the start becomes known of one found by a check  | a 0 0    | a 100 1         | serving | a 100   |
      | a process found by a check leaves                | a 0 0    | a 100 1 leaving | leaving | a 100   |

  Scenario Outline: The node restarts beside an upstream process <when>
    Given peers with a record of the node before its restart and its target <known>
    When the restarted node finds the process <found> running
    Then the target is <state> with process <found>

    Examples:
      | when                                 | known           | found | state   |
      | that serves                          | a 100 1         | a 0   | serving |
      | that left                            | a 100 1 leaving | a 0   | leaving |
      | that left and is announced again     | a 100 1 leaving | a 100 | leaving |
      | with the name of one that left       | a 100 1 leaving | a 200 | serving |
      | that took the place of one that left | a 100 1 leaving | b 200 | serving |

  # Guards against a target that is kept out for good: it started again under the name of a process
  # that left, and a health check, which does not tell the start, found it first.
  Scenario Outline: A process is found by a health check and then announced as <found>
    Given peers with a record of the node before its restart and its target <known>
    When the restarted node finds the process a 0 running
    And it is announced as <found>
    Then the target is <state> with process <process>

    Examples:
      | known           | found   | state   | process |
      | a 100 1 leaving | a 200 1 | serving | a 200   |
      | a 100 1 leaving | a 100 2 | leaving | a 100   |
      | a 100 1         | a 100 2 | serving | a 100   |

  # Guards against a target that has left and is in use until its node has read that from the store.
  Scenario Outline: A process found by a health check, before and after the earlier record is known
    Given a new process of a node that does not know which processes left
    When the target is announced as a 0
    Then peers are told that it serves, and it runs no calls
    When the node learns that <left> left
    Then it runs <calls>

    Examples:
      | left    | calls    |
      | a 100   | no calls |
      | b 100   | calls    |
      | nothing | calls    |

  # Guards against a target that is kept out after a second restart of its node: the first one wrote the
  # leaving of the process before without its start, which matches each process of the name.
  Scenario Outline: A node restarts twice beside a process a, known as <known>
    Given peers with a record of the node before its restart and its target <known>
    When the restarted node finds the process a 0 running
    And the node restarts again and finds the process a 0 running
    And it is announced as <found>
    Then the target is <state> with process <process>

    Examples:
      | known           | found   | state   | process |
      | a 100 1 leaving | a 200 1 | serving | a 200   |
      | a 100 1 leaving | a 100 2 | leaving | a 100   |
      | a 0 1 leaving   | a 200 1 | leaving | a 200   |
      | a 100 1         | a 100 2 | serving | a 100   |

  # Guards against a leaving that is taken for that of each later process of the same name.
  Scenario Outline: A process <leaves> and starts again under its name
    Given a target that was announced as <first>
    When <leaves>
    And it is announced as a 200 1
    Then the target is serving with process a 200
    And the process a 100 counts as left

    Examples:
      | first   | leaves                              |
      | a 100 1 | it leaves without telling its start |
      | a 0     | it is announced as a 100 2 leaving  |

  # Guards against a heartbeat of another writer, after which bookings ran at a target of another service.
  Scenario Outline: A heartbeat of <service> at <address> reaches a node whose settings name <upstream>
    Given a node whose settings name <upstream> as its upstream, found by a health check
    When it gets a heartbeat of process a, which serves <service> at <address>
    Then it answers <status>, and its upstream serves <used>

    Examples:
      | upstream                  | service    | address      | status | used                       |
      | kalender at 127.0.0.1:80  | kalender   | 127.0.0.1:80 | 200    | kalender at 127.0.0.1:80   |
      | kalender at 127.0.0.1:80  | broneering | 127.0.0.1:80 | 400    | kalender at 127.0.0.1:80   |
      | kalender at 127.0.0.1:80  | kalender   | 127.0.0.1:81 | 400    | kalender at 127.0.0.1:80   |
      | kalender at 127.0.0.1:80  | kalender   | 127.0.0.2:80 | 400    | kalender at 127.0.0.1:80   |
      | kalender at any address   | kalender   | 127.0.0.2:81 | 200    | kalender at 127.0.0.2:81   |
      | kalender at any address   | broneering | 127.0.0.1:80 | 400    | kalender at 127.0.0.1:80   |
      | any service at 127.0.0.1:80 | broneering | 127.0.0.1:80 | 200  | broneering at 127.0.0.1:80 |
      | any service at 127.0.0.1:80 | broneering | 127.0.0.1:81 | 400  | kalender at 127.0.0.1:80   |

  Scenario Outline: The settings of a node change to <upstream>, and a heartbeat names <service>
    Given a node whose settings name kalender at 127.0.0.1:80 as its upstream, found by a health check
    When its settings name <upstream> as its upstream
    And it gets a heartbeat of process b, which serves <service> at 127.0.0.1:80
    Then it answers <status>, and its upstream serves <used>

    Examples:
      | upstream                   | service    | status | used                       |
      | broneering at 127.0.0.1:80 | broneering | 200    | broneering at 127.0.0.1:80 |
      | broneering at 127.0.0.1:80 | kalender   | 400    | kalender at 127.0.0.1:80   |

  # Guards against a leaving that is acknowledged and forgotten, as it counts as older than the current announcement.
  Scenario Outline: A node whose target is known as <first> gets the <message>
    Given a node on the platform whose target was announced as <first>
    When it gets the <message>
    Then it answers <status>, and the target is <state> with process <process>
    And the process <left> counts as left

    Examples:
      | first           | message                   | status | state   | process | left  |
      | a 100 5         | heartbeat a 100 6 leaving | 200    | leaving | a 100   | a 100 |
      | a 100 5         | heartbeat a 100 4 leaving | 200    | leaving | a 100   | a 100 |
      | a 100 5 leaving | heartbeat a 100 4 leaving | 200    | leaving | a 100   | a 100 |
      | a 100 5         | heartbeat a 200 1 leaving | 200    | leaving | a 200   | a 200 |
      | a 200 1         | heartbeat a 100 9 leaving | 503    | serving | a 200   | a 100 |
      | a 200 1 leaving | heartbeat a 100 9 leaving | 200    | leaving | a 200   | a 100 |
      | b 200 1         | heartbeat a 100 9 leaving | 200    | serving | b 200   | a 100 |
      | a 100 5         | leave notice a            | 200    | leaving | a 100   | a 100 |
      | a 100 5         | leave notice a 100        | 200    | leaving | a 100   | a 100 |
      | a 200 1         | leave notice a 100        | 503    | serving | a 200   | a 100 |
      | a 200 1 leaving | leave notice a 100        | 200    | leaving | a 200   | a 100 |
      | b 200 1         | leave notice a 100        | 200    | serving | b 200   | a 100 |

  # Guards against the same where a configuration has the service again later.
  Scenario Outline: A node whose configuration lacks the service of its target gets the heartbeat <heartbeat>
    Given a node on the platform whose target was announced as a 100 5
    And the node has a configuration without the target's service
    When it gets the heartbeat <heartbeat>
    Then it answers 200, and the target is <state> with process a 100

    Examples:
      | heartbeat       | state   |
      | a 100 6         | serving |
      | a 100 6 leaving | leaving |
      | b 200 1         | serving |

  Scenario Outline: Retries of <nodes> nodes that share a slack of <slack> per 10 s
    Given <nodes> nodes that share a retry ratio of <percent> percent and a slack of <slack>
    When each has <calls> calls in 10 s and requests a retry every 200 ms
    Then all nodes together send at most <most> retries, and each sends at least one

    Examples:
      | nodes | percent | slack | calls | most |
      | 1     | 20      | 56    | 100   | 76   |
      | 16    | 20      | 56    | 50    | 216  |
      | 16    | 20      | 56    | 0     | 56   |
      | 67    | 20      | 174   | 20    | 442  |
