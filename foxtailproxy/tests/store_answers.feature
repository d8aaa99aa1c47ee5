Feature: Answers of the store that are repeated, cut or late
  The sockets are real; the store is scripted and runs in the test's process.

  Background:
    Given a store that answers as a script says

  # Guards against a second copy of a response that is taken for the response to the next call.
  Scenario Outline: "<call>" after "<earlier>", whose answer <framing> <event>
    Given the call "<earlier>" with the answer "<first>" <framing>, which <event>
    When the call "<call>" follows at once and gets the answer "<second>" after any copy
    Then the calls return "<first>" and "<second>"
    And the store has received 2 requests

    Examples: Copies of a value read
      | earlier       | first   | call              | second                | framing       | event                             |
      | read claims/a | value 1 | read claims/b     | value 2               | with a length | is sent once                      |
      | read claims/a | value 1 | read claims/b     | value 2               | with a length | is sent again at once             |
      | read claims/a | value 1 | read claims/b     | value 2               | with a length | is sent again 60 ms late          |
      | read claims/a | value 1 | read claims/b     | value 2               | with a length | is sent again in three reads      |
      | read claims/a | value 1 | read claims/b     | value 2               | with a length | is sent again and cut in its head |
      | read claims/a | value 1 | read claims/b     | value 2               | in chunks     | is sent once                      |
      | read claims/a | value 1 | read claims/b     | value 2               | in chunks     | is sent again at once             |
      | read claims/a | value 1 | read claims/b     | value 2               | in chunks     | is sent again 60 ms late          |
      | read claims/a | value 1 | read claims/b     | value 2               | in chunks     | is sent again in three reads      |
      | read claims/a | value 1 | read claims/b     | value 2               | in chunks     | is sent again and cut in its head |
      | read claims/a | value 1 | read claims/a     | value 2               | with a length | is sent again 60 ms late          |
      | read claims/a | value 1 | read claims/b     | Missing               | with a length | is sent again 60 ms late          |
      | read claims/a | value 1 | create claims/a 2 | Conflict with value 1 | with a length | is sent again 60 ms late          |
      | read claims/a | value 1 | update claims/a 2 | Refused               | with a length | is sent again 60 ms late          |
      | read claims/a | value 1 | delete claims/a   | Refused               | with a length | is sent again 60 ms late          |

    Examples: Copies of other answers
      | earlier           | first        | call              | second       | framing       | event                    |
      | read claims/a     | Missing      | read claims/b     | value 2      | with a length | is sent again 60 ms late |
      | read claims/a     | Refused      | create claims/a 2 | value 2      | with a length | is sent again 60 ms late |
      | create claims/a 1 | value 1      | create claims/b 1 | Refused      | with a length | is sent again 60 ms late |
      | create claims/a 1 | value 1      | create claims/b 1 | Refused      | in chunks     | is sent again 60 ms late |
      | update claims/a 1 | value 1      | update claims/a 2 | Refused      | with a length | is sent again 60 ms late |
      | update claims/a 1 | value 1      | delete claims/a   | Refused      | with a length | is sent again 60 ms late |
      | delete claims/a   | nothing      | delete claims/b   | Refused      | with a length | is sent again 60 ms late |
      | delete claims/a   | nothing      | delete claims/b   | Refused      | in chunks     | is sent again 60 ms late |
      | list members      | listing of 3 | list config       | listing of 1 | with a length | is sent again 60 ms late |
      | list members      | listing of 3 | list config       | listing of 1 | in chunks     | is sent again 60 ms late |
      | watch config      | changed to 1 | watch config      | changed to 2 | with a length | is sent again 60 ms late |
      | watch config      | changed to 1 | watch config      | no change    | in chunks     | is sent again 60 ms late |
      | watch config      | HistoryGone  | list config       | listing of 1 | with a length | is sent again 60 ms late |

  # Guards against a cut response that counts as whole, and against one whose rest is taken for the
  # response to the next call.
  Scenario Outline: "<call>" gets an answer <framing> that <event>, and another call follows
    Given the call "<call>" with the answer "<answer>" <framing>, which <event>
    When the call "read claims/c" follows at once and gets the answer "value 3" after any copy
    Then the calls return "<result>" and "value 3"
    And the store has received 2 requests

    Examples: An object
      | call          | answer  | framing          | event                             | result      |
      | read claims/a | value 1 | with a length    | comes after interim responses     | value 1     |
      | read claims/a | value 1 | with a length    | comes slowly                      | value 1     |
      | read claims/a | value 1 | with a length    | is reset within                   | Unreachable |
      | read claims/a | value 1 | with a length    | is closed within                  | Unreachable |
      | read claims/a | value 1 | with a length    | is cut, and sent again in whole   | Unreachable |
      | read claims/a | value 1 | with a length    | stalls                            | Unreachable |
      | read claims/a | value 1 | with a length    | starts late                       | value 1     |
      | read claims/a | value 1 | in chunks        | comes after interim responses     | value 1     |
      | read claims/a | value 1 | in chunks        | comes slowly                      | value 1     |
      | read claims/a | value 1 | in chunks        | is reset within                   | Unreachable |
      | read claims/a | value 1 | in chunks        | is closed within                  | Unreachable |
      | read claims/a | value 1 | in chunks        | is cut, and sent again in whole   | Unreachable |
      | read claims/a | value 1 | in chunks        | stalls                            | Unreachable |
      | read claims/a | value 1 | in chunks        | starts late                       | value 1     |
      | read claims/a | value 1 | without a length | is sent once                      | value 1     |
      | read claims/a | value 1 | without a length | comes after interim responses     | value 1     |
      | read claims/a | value 1 | without a length | comes slowly                      | value 1     |
      | read claims/a | value 1 | without a length | is reset within                   | Unreachable |
      | read claims/a | value 1 | without a length | is closed within                  | Unreachable |
      | read claims/a | value 1 | without a length | is cut, and sent again in whole   | Unreachable |
      | read claims/a | value 1 | without a length | is sent again at once             | Unreachable |
      | read claims/a | value 1 | without a length | is sent again 60 ms late          | Unreachable |
      | read claims/a | value 1 | without a length | is sent again and cut in its head | Unreachable |
      | read claims/a | value 1 | without a length | stalls                            | Unreachable |
      | read claims/a | value 1 | without a length | starts late                       | value 1     |

    Examples: Others that end with the connection
      | call              | answer       | framing          | event            | result       |
      | create claims/a 1 | value 1      | without a length | is closed within | Unreachable  |
      | update claims/a 1 | value 1      | without a length | is closed within | Unreachable  |
      | list members      | listing of 3 | without a length | is sent once     | listing of 3 |
      | list members      | listing of 3 | without a length | is closed within | Unreachable  |
      | watch config      | changed to 1 | without a length | is sent once     | changed to 1 |
      | watch config      | changed to 1 | without a length | is closed within | Unreachable  |

  Scenario Outline: "<call>" follows "read claims/a", and its answer <framing> <event>
    Given the call "read claims/a" with the answer "value 1" with a length, which is sent once
    When the call "<call>" gets the answer "<answer>" <framing>, which <event>
    Then the calls return "value 1" and "<answer>"

    Examples:
      | call              | answer       | framing       | event                                                       |
      | read claims/b     | value 2      | with a length | comes after a copy of the earlier one                       |
      | read claims/b     | value 2      | with a length | has a copy of the earlier one inside                        |
      | read claims/b     | value 2      | with a length | comes after a part of a copy of the earlier one             |
      | read claims/b     | value 2      | with a length | comes after interim responses and a copy of the earlier one |
      | read claims/b     | value 2      | in chunks     | comes after a copy of the earlier one                       |
      | read claims/b     | value 2      | in chunks     | has a copy of the earlier one inside                        |
      | read claims/b     | value 2      | in chunks     | comes after a part of a copy of the earlier one             |
      | create claims/b 2 | Refused      | with a length | comes after a copy of the earlier one                       |
      | delete claims/b   | Refused      | with a length | comes after a copy of the earlier one                       |
      | list members      | listing of 3 | with a length | has a copy of the earlier one inside                        |

  # Guards against a write that counts as acknowledged because an object could be read.
  Scenario Outline: "<call>" is answered with the redirect <status>
    When the call "<call>" is answered with the redirect <status> to an object of value 2
    Then the calls return only "Unreachable"
    And the store has received 1 requests

    Examples:
      | call              | status |
      | read claims/a     | 303    |
      | list members      | 307    |
      | create claims/a 2 | 302    |
      | update claims/a 2 | 303    |
      | update claims/a 2 | 307    |
      | delete claims/a   | 301    |
      | delete claims/a   | 303    |

  # Guards against connections that stay open after their calls have been given up.
  Scenario Outline: "<call>" gets an answer <framing> that <event>, and its connection is closed
    When the call "<call>" gets the answer "<answer>" <framing>, which <event>
    Then the calls return only "<result>"
    And the store has no open connection 100 ms later

    Examples:
      | call            | answer       | framing          | event                    | result       |
      | read claims/a   | value 1      | with a length    | is sent once             | value 1      |
      | read claims/a   | value 1      | in chunks        | is sent again at once    | value 1      |
      | read claims/a   | value 1      | with a length    | stalls                   | Unreachable  |
      | read claims/a   | value 1      | in chunks        | stalls                   | Unreachable  |
      | read claims/a   | value 1      | without a length | stalls                   | Unreachable  |
      | delete claims/a | nothing      | with a length    | stalls                   | Unreachable  |
      | list members    | listing of 3 | in chunks        | stalls                   | Unreachable  |

  # Guards against an answer with a status that does not exist, which is taken for that of a store that has done its part.
  Scenario Outline: The call "<call>" is answered with status <status>
    When the call "<call>" gets the answer "status <status>" with a length, which is sent once
    Then the calls return only "Unreachable"

    Examples:
      | call              | status |
      | read claims/a     | 000    |
      | read claims/a     | 099    |
      | read claims/a     | 199    |
      | read claims/a     | 600    |
      | create claims/a 1 | 000    |
      | delete claims/a   | 099    |
