Feature: Settings and configuration
  Every problem of a file is reported at once, each with section, key, value, reason and unit.

  Scenario Outline: The <kind> in <file>
    When the <kind> in <file> is read
    Then the result is as in the golden file settings-<file>

    Examples:
      | kind          | file              |
      | settings      | node-valid        |
      | settings      | node-many-errors  |
      | settings      | node-not-ini      |
      | settings      | node-bad-addresses |
      | configuration | rules-valid       |
      | configuration | rules-many-errors |

  Scenario Outline: A template that gives <key> = <value>
    When settings with <key> = <value> in section <section> are read
    Then <key> is <result>

    # A deployment's bounds may be fractions, and one that it lacks is rendered as nothing.
    Examples:
      | section   | key            | value | result |
      | budgets   | retry_slack    | 36.25 | 36.25  |
      | budgets   | retry_window_s | 7.5   | 7.5    |
      | limits    | stop_grace_s   | 6.5   | 6.5    |
      | budgets   | retry_ratio    | -     | 0.1    |
      | budgets   | retry_window_s | -     | 10     |
      | upstream  | health_path    | -     | /healthz |

  Scenario: The operators' library prints what the parser reads
    When the demonstration's configuration is built
    Then printing it, reading it and printing it again gives the same text

  Scenario: A keyword that the schema lacks is an error
    Then building a class with an unknown keyword fails
