Feature: Settings and configuration
  Every problem of a file is reported at once, each with section, key, value, reason and unit.

  Scenario Outline: The <kind> in <file>
    When the <kind> in <file> is read
    Then the result matches the golden file settings-<file>

    Examples:
      | kind          | file              |
      | settings      | node-valid        |
      | settings      | node-many-errors  |
      | settings      | node-not-ini      |
      | settings      | node-bad-addresses |
      | configuration | rules-valid       |
      | configuration | rules-many-errors |

  Scenario Outline: A rendered template with <key> = <value>
    When settings with <key> = <value> in section <section> are read
    Then <key> is <result>

    # Limits of a deployment may be fractions; one that is not set is rendered as an empty value.
    Examples:
      | section   | key            | value | result |
      | budgets   | retry_slack    | 36.25 | 36.25  |
      | budgets   | retry_window_s | 7.5   | 7.5    |
      | limits    | stop_grace_s   | 6.5   | 6.5    |
      | budgets   | retry_ratio    | -     | 0.1    |
      | budgets   | retry_window_s | -     | 10     |
      | upstream  | health_path    | -     | /healthz |

  Scenario: The parser reads the output of the configuration library
    When the configuration of the demo is built
    Then formatting it, parsing it and formatting it again gives the same text

  Scenario: A keyword that is not in the schema is an error
    Then building a class with an unknown keyword fails
