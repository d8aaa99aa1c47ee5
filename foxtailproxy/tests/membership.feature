Feature: Membership
  Nodes find each other, notice losses, and agree again after they were apart.

  Scenario Outline: <what> of one of <count> nodes is known everywhere within <within> ms
    Given <count> nodes in 2 regions that know each other
    When one node is <change>
    Then all others see it <state> within <within> ms
    And no other node was taken for lost

    Examples:
      | what       | count | change  | state   | within |
      | the death  | 8     | killed  | dead    | 8000   |
      | the death  | 16    | killed  | dead    | 8000   |
      | the leave  | 8     | leaving | leaving | 3000   |
      | the leave  | 16    | leaving | leaving | 3000   |
      | the leave  | 40    | leaving | leaving | 3000   |

  Scenario Outline: Regions apart for <apart> ms agree again and nobody is taken for lost
    Given 8 nodes in 2 regions that know each other
    When the regions are apart for <apart> ms
    Then no other node was taken for lost
    And a node that left meanwhile is known to have left within 20000 ms

    Examples:
      | apart   |
      | 10000   |
      | 3600000 |

  Scenario: A node that was cut off shows that it lives
    Given 8 nodes in 2 regions that know each other
    When a node is cut off for 20000 ms
    Then all others see it alive within 10000 ms

  Scenario: A restarted node outranks its earlier records
    Given 8 nodes in 2 regions that know each other
    When one node is killed
    And it is started again
    Then all others see it alive within 10000 ms

  Scenario Outline: A node of <count> that restarts with old records soon has the newest
    Given <count> nodes in 2 regions that know each other
    When all announce a target, and a node restarts that knows them from before
    Then it knows all targets within 1000 ms

    Examples:
      | count |
      | 8     |
      | 16    |
      | 40    |

  Scenario: Packets lost one in five do not make nodes look lost
    Given 8 nodes in 2 regions that know each other
    When one packet in 5 is lost for 60000 ms
    Then no live node is seen dead

  Scenario Outline: Traffic of <count> nodes <situation> stays within the budget
    Given <count> nodes in 2 regions that know each other
    When the fleet is <situation> for 60000 ms
    Then over any 10 s no node sent more than its budget

    Examples:
      | count | situation     |
      | 8     | at rest       |
      | 16    | half replaced |
