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

  Scenario: The operators' library prints what the parser reads
    When the demonstration's configuration is built
    Then printing it, reading it and printing it again gives the same text

  Scenario: A keyword that the schema lacks is an error
    Then building a class with an unknown keyword fails
