Feature: Short soak test of real processes under faults
  New seeds are run by hand with `make soak`. Each seed that has ever failed stays here, with its cause.

  Scenario Outline: Seed <seed>: <why>
    When the soak test runs seed <seed> for <duration> s with <places> nodes
    Then every guarantee held

    Examples:
      | seed | duration | places | why                                                   |
      | 1    | 8        | 6      | a run of each change                                  |
      | 9    | 12       | 6      | SIGHUP reached a node before its handler and ended it |
      | 7001 | 15       | 6      | the next answer was read as the body of a failure     |
