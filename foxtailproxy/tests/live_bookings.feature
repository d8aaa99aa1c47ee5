Feature: Bookings run at most once, with real processes
  Callers resend a booking with the same key, to any node, while its outcome is unknown.

  Scenario Outline: <fault>
    Given 4 nodes with an upstream each, as real processes
    When bookings are sent for 6 s while <fault>
    Then no booking ran more than once
    And no caller got "not run" for a booking that had run
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

  Scenario: Bookings without a key run at most once
    Given 4 nodes with an upstream each, as real processes
    When bookings without a key are sent for 6 s while a node is killed
    Then no booking ran more than once
    And no caller got "not run" for a booking that had run
