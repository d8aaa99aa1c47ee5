Feature: Bookings run at most once, with real processes
  Callers send a key again, to any node, while its outcome is not known.

  Scenario Outline: <fault>
    Given 4 nodes under real load
    When bookings are made for 6 s while <fault>
    Then no booking ran twice
    And nobody was told "not run" of a booking that had run
    And at least <share> percent of the bookings were answered

    Examples:
      | fault                                             | share |
      | nothing happens                                   | 100   |
      | a node is killed                                  | 85    |
      | a node is paused for 3 s                          | 70    |
      | the platform loses three answers in ten           | 95    |
      | the platform is out for 2 s                       | 60    |
      | the platform answers after 300 ms                 | 95    |
      | a node is paused and the platform is out          | 40    |

  Scenario: Bookings without a key are dispatched once
    Given 4 nodes under real load
    When plain bookings are made for 6 s while a node is killed
    Then no booking ran twice
    And nobody was told "not run" of a booking that had run
