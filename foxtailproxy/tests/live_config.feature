Feature: Propagation of configuration changes, with real processes

  Scenario: All nodes adopt each of ten changes within 3 s
    Given 6 nodes with an upstream each, as real processes
    When 10 changes are applied one after another
    Then each was adopted by all nodes within 3 s

  Scenario: Of concurrent changes at least one is accepted and the other commands fail
    Given 4 nodes with an upstream each, as real processes
    When 4 operators apply different changes concurrently
    Then at least one command succeeded and the others ended with exit code 4
    And all nodes adopt the newest accepted change

  Scenario: A change is reported as accepted although the platform's answers are lost
    Given 4 nodes with an upstream each, as real processes
    When a change is applied while the platform loses every answer
    Then the change is reported as accepted
    And all nodes adopt the newest accepted change

  Scenario: Nodes ignore the older configuration of a restored platform
    Given 4 nodes with an upstream each, as real processes
    When the platform is restored to its state before the last two changes
    And a node is replaced
    Then no node adopted an older configuration
    And a change based on the generation of a node is adopted by all nodes

  Scenario: A node replaced during an outage gets the configuration from its peers
    Given 4 nodes with an upstream each, as real processes
    When a node with its peers as seeds is replaced during an outage of the platform
    Then that node adopts the current configuration within 10 s

  Scenario: Measurement traffic of an idle fleet, counted at the sockets, stays within its budget
    Given 6 nodes with an upstream each, as real processes
    When the fleet is idle for 10 s
    Then no node sent more than its measurement budget
    And the metrics of each node count its packets by kind, with no ping or ack unsent
