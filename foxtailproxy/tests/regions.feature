Feature: Calls run only in their allowed regions
  The local target and n1 are in pohja, n2 and n3 in louna, n4 in ida; all are in data centres of their own.

  # Guards against a sample, a hedge, a retry, a suspect placement or a load query outside the regions.
  Scenario Outline: <how> of a call allowed in <regions> with <unusable> and targets <tried> tried
    Given a node in pohja with targets n1 in pohja, n2 and n3 in louna, n4 in ida
    And <unusable>
    When 60 calls allowed in <regions> are placed by <how>, with <tried> tried
    Then only <chosen> are chosen, and only <queried> are queried for their load

    Examples:
      | how       | regions    | unusable                  | tried | chosen      | queried     |
      | placement | louna      | nothing is unusable       | -     | n2 n3       | n2 n3       |
      | placement | louna      | nothing is unusable       | n2    | n3          | n3          |
      | placement | louna      | nothing is unusable       | n2 n3 | none        | -           |
      | placement | pohja      | nothing is unusable       | -     | local       | -           |
      | placement | pohja      | nothing is unusable       | local | n1          | n1          |
      | placement | pohja      | n1 and the local are slow | -     | local       | n1          |
      | placement | pohja      | the local is slow         | -     | n1          | n1          |
      | placement | anywhere   | n1 and the local are slow | local | n2 n3 n4    | n1 n2 n3 n4 |
      | placement | pohja      | n1 and the local are slow | local | n1          | n1          |
      | placement | louna,ida  | n2 is due for a trial     | -     | n2 n3 n4    | n2 n3 n4    |
      | placement | ida        | n2 is due for a trial     | -     | n4          | n4          |
      | placement | ida        | n4 is dead                | -     | none        | -           |
      | placement | ida        | n4 is suspect             | -     | n4          | n4          |
      | placement | saar       | nothing is unusable       | -     | none        | -           |
      | placement | louna      | n2's is evacuated         | -     | n3          | n3          |
      | placement | ida        | n4's is evacuated         | -     | none        | -           |
      | placement | anywhere   | the local's is evacuated  | -     | n1          | n1          |
      | placement | pohja      | the local's is evacuated  | n1    | none        | -           |
      | hedging   | louna      | nothing is unusable       | n3    | n2          | n2          |
      | suspicion | louna      | nothing is unusable       | -     | n2 n3       | -           |
      | suspicion | ida        | n4's is evacuated         | -     | none        | -           |
      | suspicion | pohja      | nothing is unusable       | -     | local n1    | -           |
      | suspicion | pohja      | the local's is evacuated  | -     | n1          | -           |

  # Guards against a wait, or a general reason, where the regions are the cause.
  Scenario Outline: A call allowed in <regions> with targets <targets> ends as <outcome>
    Given targets <targets>
    And the call is allowed in <regions>
    When a call that may run again is dispatched with 1 attempts
    Then it ends as <outcome> after 0 ms
    And the log has <lines> lines no_allowed_target with its id, <regions> and the cause <cause>

    Examples:
      | regions  | targets                   | outcome                   | lines | cause      |
      | louna    | -                         | not-run no-allowed-target | 1     | no-target  |
      | louna    | a:overloaded b:queue-full | not-run no-allowed-target | 1     | queue-full |
      | louna    | a:evacuated b:evacuated   | not-run no-allowed-target | 1     | evacuated  |
      | louna    | a:refusing                | not-run no-allowed-target | 1     | refusing   |
      | louna    | a:quarantined             | not-run quarantined       | 0     | -          |
      | louna    | a:upstream-lost           | unknown upstream-lost     | 0     | -          |
      | anywhere | -                         | not-run no-target         | 0     | -          |
      | anywhere | a:overloaded b:queue-full | not-run queue-full        | 0     | -          |

  # Guards against a choice whose cost grows with the number of targets.
  Scenario: The targets of a set of regions are grouped once for all calls
    Given a node in pohja with 400 targets in each of pohja, louna and ida
    When 200 calls allowed in louna,ida are drawn
    Then the targets have been grouped 1 times, and none is in pohja
