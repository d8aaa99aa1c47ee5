Feature: Keys of customers, with real processes

  # Guards against keys that are accepted, rejected or shown by a part that the tests in memory leave out.
  Scenario: A key is replaced, and a node restarts
    Given 4 nodes with an upstream each, as real processes
    When a configuration with just the key live-key-1 is applied
    Then the status at all nodes is 200 with live-key-1, 401 with live-key-2 and 401 without a key
    When a configuration with just the key live-key-2 is applied
    Then the status at all nodes is 200 with live-key-2, 401 with live-key-1 and 401 without a key
    When a node is killed and started again with its peers as seeds
    Then the status at all nodes is 200 with live-key-2, 401 with live-key-1 and 401 without a key
    And no process has logged a key
