Feature: A short soak of the real programs under faults
  Fresh seeds are run by hand with `make soak`; each seed that ever failed stays here, with its cause.

  Scenario Outline: Seed <seed>: <why>
    When the soak plays seed <seed> for <duration> s at <places> places
    Then every promise held

    Examples:
      | seed | duration | places | why                                                   |
      | 1    | 8        | 6      | a run of each change                                  |
      | 9    | 12       | 6      | SIGHUP reached a node before its handler and ended it |
