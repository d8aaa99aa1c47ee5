Feature: At most once
  Of all requests with one idempotency key at most one is dispatched, whatever goes wrong.

  Scenario Outline: <count> schedules from seed <seed> never run a key twice
    Given <count> schedules of one key from seed <seed>
    When all are played with claims on
    Then no key ran twice
    And nobody was told "not run" of a key that had run
    And at least <share> percent of the callers got the answer

    Examples:
      | seed | count | share |
      | 1    | 1000  | 25    |
      | 5000 | 1000  | 25    |
      | 9000 | 1000  | 25    |

  Scenario: The same schedules do run keys twice without claims
    Given 200 schedules of one key from seed 1
    When all are played with claims off
    Then some key ran twice

  Scenario Outline: A key that cannot be looked up, first send <first_send>
    Given a platform that is out
    When a keyed call is claimed with first send <first_send>
    Then the call ends as <kind> because of <reason>

    Examples:
      | first_send | kind    | reason          |
      | no         | unknown | key-not-checked |
      | yes        | not-run | platform-down   |

  Scenario: A key used for another request
    Given a key that was answered
    When the key is sent with another request
    Then the call ends as not-run because of key-reused

  Scenario: A key that was answered is answered again without a run
    Given a key that was answered
    When the key is sent again to another node
    Then the call ends with the same answer
