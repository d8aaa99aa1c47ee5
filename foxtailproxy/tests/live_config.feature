Feature: Configuration in force, with real processes

  Scenario: Each of ten changes is in force on all nodes within 3 s
    Given 6 nodes under real load
    When 10 changes are applied one after another
    Then each was in force everywhere within 3 s

  Scenario: Of operators that race one wins and the others are told
    Given 4 nodes under real load
    When 4 operators apply different changes at once
    Then at least one was accepted and each other one got exit code 4
    And all nodes agree on the newest accepted change

  Scenario: An operator whose answer is lost learns what happened
    Given 4 nodes under real load
    When the platform loses every answer and a change is applied
    Then the change is reported as accepted
    And all nodes agree on the newest accepted change

  Scenario: A platform restored from an older state brings no old configuration back
    Given 4 nodes under real load
    When the platform is restored to what it held two changes ago
    And a node is replaced
    Then no node went back to an older configuration
    And a change applied with the generation of a node is in force everywhere

  Scenario: A node replaced during an outage takes the configuration from its peers
    Given 4 nodes under real load
    When the platform is out and a node is replaced with peers as seeds
    Then that node has the configuration in force within 10 s

  Scenario: Measuring at rest stays within the budget, counted at the sockets
    Given 6 nodes under real load
    When nothing happens for 10 s
    Then no node sent more than its budget for measuring
