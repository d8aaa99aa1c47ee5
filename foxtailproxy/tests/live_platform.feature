Feature: Nodes on the users' platform, with real processes
  Two services of two targets each, in two data centres; settings as the deploy template gives them.

  Scenario: The whole path, from a configuration to answers and back to none
    Given nodes on the platform without a configuration
    Then a request to each node gets 503 and each node is not ready
    When the operator writes the configuration
    Then each node is ready within 1000 ms
    And requests to each node for each service get the target's answer and receipt
    And the targets saw the caller's service and the time left
    And a request without a route gets 404 at each node

  Scenario Outline: A target says that it leaves by <how>
    Given nodes on the platform with a configuration
    When a target says that it leaves by <how> while requests go on
    Then no request reaches it from 1000 ms after the acknowledgement
    And no request was lost
    And after a restart of its node no request reaches it either

    Examples:
      | how       |
      | heartbeat |
      | notice    |

  Scenario: A node that restarts beside a running target serves within a second
    Given nodes on the platform with a configuration
    When a node is killed and started again
    Then a request to it is answered by its own target within 1000 ms of its first line

  Scenario: A node that restarts is ready after one answer of a slow store
    Given nodes on the platform with a configuration
    When the store takes 300 ms for each answer and a node is killed and started again
    Then the node is ready within 700 ms of its first line

  Scenario: A node is stopped while requests go on
    Given nodes on the platform with a configuration
    When a node gets SIGTERM while requests go on
    Then it is not ready at once and ends within 6000 ms
    And no request was lost

  Scenario: A node is stopped while its own callers keep coming
    Given nodes on the platform with a configuration
    When a node gets SIGTERM while its own callers send requests of 300 ms without a pause
    Then it ends within 6000 ms and cut no request that it had taken

  Scenario: A caller leaves while its request runs at another node's target
    Given nodes on the platform with a configuration
    When a caller leaves a request that runs for 3000 ms after 200 ms
    Then the target stops work on it within 500 ms
