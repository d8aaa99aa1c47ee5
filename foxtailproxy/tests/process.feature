Feature: Settings that change, and logs that nobody reads

  Scenario Outline: The settings file <change> while the node runs
    Given a node's settings file that is watched
    When the file <change> and <ms> ms pass
    Then the node has taken over <count> new settings and silence_ms is <silence>

    Examples:
      | change            | ms   | count | silence |
      | does not change   | 3000 | 0     | 500     |
      | gets silence 700  | 1100 | 1     | 700     |
      | becomes invalid   | 1100 | 0     | 500     |
      | becomes unreadable | 1100 | 0    | 500     |
      | goes and comes back with silence 900 | 3000 | 1 | 900 |

  Scenario: A file that changes between the node's start and its first look
    Given a node's settings file that changed after it was read
    When the node looks at the file for the first time
    Then the node has taken over 1 new settings and silence_ms is 800

  Scenario: A settings signal while the node starts
    Given a node process that has just been started
    When it gets SIGHUP before it serves
    Then it goes on

  Scenario: The time of day is set while a timer runs
    Given a reactor that follows steady time
    When a timer of 30 s is set
    Then it is due by the time since the start of the instance, whatever the time of day

  Scenario: A stream that nobody reads holds up nothing and loses only what is beyond the buffer
    Given a log stream into a pipe that nobody reads
    When 20000 lines are logged
    Then it takes less than 2000 ms
    And what was dropped is counted once the pipe is read again

  Scenario Outline: An event that comes <count> times in a second
    Given a log stream into a file
    When <count> lines of one event are logged within a second, and one in the next
    Then <least> to <most> lines are written, and the last tells of <dropped> left out

    Examples:
      | count | least | most | dropped |
      | 300   | 301   | 301  | 0       |
      | 2000  | 450   | 520  | 1520    |
