Feature: Settings reload, signals, timers and log output of a process

  Scenario Outline: The settings file <change> while the node runs
    Given a watched settings file of a node
    When the file <change> and <ms> ms pass
    Then the node has adopted <count> new settings and silence_ms is <silence>

    Examples:
      | change            | ms   | count | silence |
      | does not change   | 3000 | 0     | 500     |
      | gets silence 700  | 1100 | 1     | 700     |
      | becomes invalid   | 1100 | 0     | 500     |
      | becomes unreadable | 1100 | 0    | 500     |
      | goes and comes back with silence 900 | 3000 | 1 | 900 |

  Scenario: The settings file changes between the node's start and its first check
    Given a settings file that changed after the node read it
    When the node checks the file for the first time
    Then the node has adopted 1 new settings and silence_ms is 800

  Scenario: SIGHUP arrives while the node is still importing
    Given a node process that is still importing
    When it receives SIGHUP before it serves
    Then it keeps running

  # A caller that is refused has used up one of its few attempts.
  Scenario Outline: A caller connects while the node is still importing, with <settings>
    Given a node process with <settings> that is still importing
    Then a caller that connects to it is <treated>

    Examples:
      | settings                               | treated |
      | a caller port                          | queued  |
      | a caller address                       | queued  |
      | a caller port, named in a variable     | queued  |
      | a caller port, to be checked only      | refused |
      | a caller port that is not a number     | refused |
      | a text that is no INI                  | refused |
      | no file                                | refused |

  Scenario: The time of day is set while a timer runs
    Given a reactor that uses monotonic time
    When a timer of 30 s is scheduled
    Then it is due by the time since the instance booted, whatever the time of day

  # Guards against a timer that stops for good at the first error.
  Scenario Outline: A <timer> whose work fails <how> logs it and works again
    Given a <timer> every 100 ms whose work fails <how> twice
    When the timer has run for 1050 ms
    Then the work was done 10 times, and 2 errors were logged
    And it is not done any more once the timer is stopped

    Examples:
      | timer         | how     |
      | periodic call | at once |
      | periodic call | later   |
      | work timer    | at once |

  # Guards against a process that runs until the platform kills it.
  Scenario Outline: A node stops in time although closing <part> fails
    Given a node process in which closing <part> fails
    When it serves and receives SIGTERM
    Then it has ended within 5 s, and logged the failure

    Examples:
      | part                   |
      | the caller server      |
      | the target's queue     |
      | the caller port        |
      | the configuration      |
      | the gossip             |
      | the registration       |
      | the caller connections |
      | the target             |
      | the settings watch     |

  Scenario: Logging to an unread pipe does not block and drops only lines beyond the buffer
    Given a log stream into a pipe that is not read
    When 20000 lines are logged
    Then logging them takes less than 2000 ms
    And the dropped lines are counted once the pipe is read again

  Scenario Outline: An event that is logged <count> times in a second is sampled above the limit
    Given a log stream into a file
    When <count> lines of one event are logged within a second, and one in the next
    Then <least> to <most> lines are written, and the last reports <dropped> dropped

    Examples:
      | count | least | most | dropped |
      | 300   | 301   | 301  | 0       |
      | 2000  | 450   | 520  | 1520    |
