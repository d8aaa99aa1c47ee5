Feature: Admission at a target
  Slots are counted exactly, classes and tenants share them fairly, long calls may hold only a share
  of them, and calls of the lowest priority are shed first.

  Scenario Outline: <case>
    Given a target with <slots> slots
    When these calls are submitted: <calls>
    And <ms> ms pass
    Then these run: <running>
    And these wait: <waiting>
    And these were rejected: <refused>

    # A call is NAME:CLASS[:TENANT]; the steps define the classes.
    Examples:
      | case                                     | slots | calls                                    | ms  | running | waiting | refused              |
      | slots are exact                          | 2     | a:short b:short c:short                  | 0   | a b     | c       | -                    |
      | a queue has a bound                      | 1     | a:short b:short c:short d:short e:short  | 0   | a       | b c d   | e=queue-full         |
      | a tenant with less gets the place        | 1     | a:short b:short:x c:short:x d:short:x e:short:y | 0 | a    | b c e   | d=queue-full         |
      | held too long                            | 1     | a:short b:short                          | 150 | a       | -       | b=held-too-long      |
      | long work leaves half of the slots       | 4     | a:long b:long c:long d:short             | 0   | a b d   | c       | -                    |
      | stragglers of a class count as long      | 2     | a:drags b:short                          | 0   | a b     | -       | -                    |
      | the least important is shed              | 1     | a:short b:low c:low d:low e:low f:high   | 0   | a       | b c d f | e=queue-full         |
      | a suspect runs without another suspect   | 3     | a:suspect b:suspect c:short              | 0   | a c     | b       | -                    |

  # Guards against one queue for all customers of a class, with the weight of the latest call.
  Scenario Outline: Calls of one class with two priorities: <case>
    Given a target with 1 slots
    When these calls are submitted: <calls>
    And the call a ends
    And the call <second> ends
    Then these run: <running>
    And these wait: <waiting>
    And these were rejected: <refused>

    Examples:
      | case                                  | calls                              | second | running | waiting | refused      |
      | a later call does not change a weight | a:gold b:tin c:gold d:gold e:tin   | b      | a b c   | d e     | -            |
      | the more important ones go first      | a:gold b:gold c:gold d:tin e:tin   | d      | a d b   | c e     | -            |
      | each priority has its queue           | a:tin b:tin c:tin d:tin e:tin f:gold | f    | a f b   | c d     | e=queue-full |

  Scenario: A class whose calls have become long is limited to the share for long calls
    Given a target with 4 slots
    When these calls are submitted: a:drags b:drags
    And 60 ms pass
    And these calls are submitted: c:drags d:short
    Then these run: a b d
    And these wait: c

  Scenario Outline: A call that would miss its objective of 100 ms: <case>
    Given a target with 1 slots
    And calls of a class that usually run <usual> ms
    When these calls are submitted: a:aimed b:aimed c:aimed
    And <ms> ms pass
    And the call a ends
    Then these run: <running>
    And these wait: <waiting>
    And these were rejected: <refused>

    Examples:
      | case                                        | usual | ms | running | waiting | refused                          |
      | all are in time                             | 20    | 10 | a b     | c       | -                                |
      | one that waited too long gives way          | 60    | 50 | a c     | -       | b=held-too-long                  |
      | the run alone takes too long with none free | 120   | 10 | a       | -       | b=overloaded c=overloaded        |

  # By turns a tenant with calls of three times the length got three times the slots; by the length of
  # the whole queue a small tenant was rejected for the calls of a large one.
  Scenario Outline: Two tenants of one class share 3 slots for 20 s: <case>
    Given a target with 3 slots
    When tenant A sends <rate_a> calls a second of <run_a> ms, and B <rate_b> of <run_b> ms, for 20 s
    Then tenant A has <share_a> to <most_a> and B <share_b> to <most_b> percent of the slots' time

    Examples:
      | case                             | rate_a | run_a | rate_b | run_b | share_a | most_a | share_b | most_b |
      | one has longer calls             | 20     | 300   | 40     | 100   | 47      | 53     | 47      | 53     |
      | one sends seven times as many    | 42     | 100   | 6      | 100   | 76      | 81     | 19      | 20     |
      | both fit                         | 10     | 100   | 5      | 100   | 33      | 34     | 16      | 17     |

  # Guards against memory that grows with the tenants: without customers callers choose their names.
  Scenario: Calls of many tenants that never wait
    Given a target with 1 slots
    When a call of each of 1000 tenants runs, one after the other
    Then the service time of at most 256 tenants is kept

  Scenario: Classes share the slots by weight and service time
    Given a target with 1 slots
    When 40 heavy calls of weight 3 and 40 light calls of weight 1 wait
    Then of the next 20 that run 15 are heavy

  Scenario: Without fair queueing calls run in the order of arrival
    Given a target with 1 slots
    And fair queueing is off
    When 40 heavy calls of weight 3 and 40 light calls of weight 1 wait
    Then of the next 20 that run 20 are heavy
