Feature: Placement of a call, nearest target first

  # near* are in the local data centre, dc* in another one of the region, far* in another region. A load
  # is RUNNING/QUEUED@SLOWNESS with 5 slots; "silent" answers no query, "gone" takes no calls. A
  # call usually runs 100 ms and has an objective of 400 ms.
  Scenario Outline: <case>
    Given the targets <targets>
    When a call is placed
    Then it is sent to <sent>, after queries to <queried>

    Examples:
      | case                                               | targets                                                     | sent  | queried                 |
      | the nearest have room                              | near1:1/0@1 near2:3/0@1 dc1:0/0@1 far1:0/0@1                | near1 | near1 near2             |
      | the nearest are full                               | near1:5/4@1 near2:5/4@1 dc1:1/0@1 far1:0/0@1                | dc1   | near1 near2 dc1         |
      | the nearest are slow                               | near1:1/0@4 near2:1/0@4 dc1:1/0@1 far1:0/0@1                | dc1   | near1 near2 dc1         |
      | the nearest are silent                             | near1:silent near2:silent dc1:1/0@1 far1:0/0@1              | dc1   | near1 near2 dc1         |
      | one of the nearest is silent                       | near1:silent near2:2/0@1 dc1:0/0@1 far1:0/0@1               | near2 | near1 near2             |
      | one of the nearest takes no calls                  | near1:gone near2:2/0@1 dc1:0/0@1 far1:0/0@1                 | near2 | near1 near2             |
      | the region would answer after the objective        | near1:5/9@4 near2:5/9@4 dc1:5/9@4 far1:0/0@1                | far1  | near1 near2 dc1 far1    |
      | no target in the region                            | far1:0/0@1                                                  | far1  | far1                    |
      | every target is silent                             | near1:silent dc1:silent                                     | any   | near1 dc1               |

  # Otherwise calls would go to the targets that are known least, also in other regions.
  Scenario: A target without a report is not expected to be idle
    Given the targets near1:2/0@1.2 far1:0/0@1
    And reports of the service from earlier calls, of which far1 sent none
    When a call is placed without queries
    Then it is sent to near1, after queries to none

  # Many nodes compare the same reports: the target that seems a little faster would fill up first.
  Scenario: Calls of many nodes are spread over targets that are about as fast
    Given the targets near1:0/0@1 near2:0/0@1.05
    When 8 calls are placed, and each is running when the next one comes
    Then each of near1 and near2 got 3 calls or more
