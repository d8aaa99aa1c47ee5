Feature: Evacuations of data centres and restores of the store
  24 nodes in four data centres of two regions; pohja-a is evacuated.

  # Guards against an evacuation that some nodes learn late or never. 2,000 ms is the aim in calm.
  Scenario Outline: An evacuation is in force on all nodes in time while <fault>, seed <seed>
    Given a fleet of 24 nodes, seed <seed>
    When <fault>
    And pohja-a is evacuated
    Then it is in force on all nodes within <ms> ms
    When its evacuation is taken back
    Then it is in force on no node within 5000 ms

    Examples:
      | fault                                                      | seed | ms   |
      | nothing fails                                              | 1    | 2000 |
      | nothing fails                                              | 2    | 2000 |
      | all watchers are killed                                    | 1    | 5000 |
      | all watchers are killed                                    | 2    | 5000 |
      | the first third by rank is cut off from the store          | 1    | 5000 |
      | the first third by rank is cut off from the store          | 2    | 5000 |
      | one packet in five is lost                                 | 1    | 5000 |
      | the store comes back from a copy that is 3000 ms old       | 1    | 5000 |

  # Guards against an evacuation that a new process or a restarted fleet does not know.
  Scenario Outline: <which> restarted while the store is <store>
    Given a fleet of 24 nodes, seed 1
    When pohja-a is evacuated
    And 3000 ms pass in the fleet
    And the store is <store>
    And <which> restarted
    Then it is in force on all nodes within <ms> ms

    Examples:
      | which              | store     | ms   |
      | all nodes are      | reachable | 300  |
      | half the nodes are | reachable | 300  |
      | half the nodes are | silent    | 5000 |

  # Guards against an evacuation that ends because the store has lost it.
  Scenario Outline: The store loses an evacuation, and it is requested again <again>
    Given a fleet of 24 nodes, seed 1
    When the store takes a snapshot
    And pohja-a is evacuated
    And 3000 ms pass in the fleet
    And the store comes back from its snapshot
    And <again>
    Then it was in force on all nodes for <ms> ms since the restore
    And after another 6000 ms it is in force on <which> node

    Examples:
      | again                                           | ms    | which |
      | after 3000 ms pohja-a is evacuated              | 20000 | each  |
      | nobody requests it again                        | 5000  | no    |
      | after 1000 ms half the nodes are restarted      | 5000  | no    |

  # Guards against a state of an earlier era that counts as newer for its higher revision, and against regions that
  # find each other late. The grace time of 5 s begins when a node hears of the new era.
  Scenario: An evacuation that ended after a restore does not come back from a node that missed it
    Given a fleet of 24 nodes, seed 1
    When the store takes a snapshot
    And pohja-a is evacuated
    And 3000 ms pass in the fleet
    And the regions are separated, and louna is cut off from the store
    And the store comes back from its snapshot
    And 90000 ms pass in the fleet
    Then it is in force in louna alone
    When the regions are joined again
    Then it is in force on no node within 8000 ms

  # Guards against the price of a restore for the bytes of packets, and against packets that never shrink again.
  Scenario: Packets have further fields only while there is something to tell
    Given a fleet of 24 nodes, seed 1
    Then a packet has no further bytes
    When pohja-a is evacuated
    And 3000 ms pass in the fleet
    Then a packet has some further bytes
    When its evacuation is taken back
    And 68000 ms pass in the fleet
    Then a packet has no further bytes

  # Guards against a watch that costs calls in calm.
  Scenario: In calm only the watchers call the store
    Given a fleet of 24 nodes, seed 1
    When 100000 ms pass in the fleet
    Then 8 nodes have called the store in the last 100000 ms, each 8 times at most

  # Guards against a leaving that is forgotten although it was acknowledged. After the restore most nodes hear
  # of the new era from peers alone.
  Scenario Outline: A leaving that a restore has lost is written again, <case>
    Given a fleet of 24 nodes, seed 1
    When the store takes a snapshot
    And the upstream of n5 leaves, and the store has it
    And the store comes back from its snapshot
    And <case>
    And 9000 ms pass in the fleet
    Then the store has the leaving of n5 and the records of all nodes

    Examples:
      | case                                                 |
      | nothing fails                                        |
      | the store is silent for 4000 ms                      |

  # Guards against work that is sent to an evacuated target, and against work there that is cut off.
  Scenario: The node beside an evacuated target rejects calls and finishes the running ones
    Given a simulated upstream that never answers
    When 3 calls run or wait at its target of 2 slots
    And the data centre of the target is evacuated
    And 1 more call comes
    Then 2 calls run, and 2 were rejected as evacuated
    When the data centre of the target is used again
    And 1 more call comes
    Then 2 calls run, and 2 were rejected as evacuated

  # Guards against a key that runs twice since the store has lost its claim.
  Scenario Outline: The store loses the claim of a call, and <case>
    Given a key whose call was answered, in a store that can be restored
    When the store loses the claim in a restore
    And <first> <when> hears of it, and the key is sent again to b <ms> ms later
    Then b's call ends as <outcome>

    Examples:
      | case                                       | first  | when | ms   | outcome                   |
      | its holder writes it again                 | holder | soon | 6000 | the same answer           |
      | the key is sent again in the grace time    | holder | soon | 1000 | unknown key-not-checked   |
      | the next sender hears of it by its claim   | nobody | soon | 0    | unknown key-not-checked   |
