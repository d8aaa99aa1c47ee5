Feature: Where a request would go, asked of real processes

  # Guards against an admin port or command that differs from the parts in memory.
  Scenario: An operator asks a node
    Given 2 nodes with an upstream each, as real processes
    When a configuration with just the key live-key-1 is applied
    Then foxtailproxy where for kalender.example and alder exits with 0 and prints class lookup
    And its JSON names a target and the generation in force
    And foxtailproxy where for kalender.example and nobody exits with 6 and prints unknown-customer
    And foxtailproxy where for nowhere.example and alder exits with 6 and prints unknown-host
    And no request has run
