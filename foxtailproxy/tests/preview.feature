Feature: Where a request would go
  The preview shows what the node's own router would decide, and changes nothing.

  # Guards against a preview that names another target or reason than the router would act on.
  Scenario Outline: With <state>, a request of <customer> to <path> goes to <decision>
    Given a previewed node with <state>
    When the request to <path> of <customer> is previewed
    Then the preview decides <decision>
    And <target> is out for <reason>

    Examples:
      | state              | path  | customer | decision                      | target | reason          |
      | nothing wrong      | /days | alder    | local me                      | n1     | nothing         |
      | a busy local       | /days | alder    | peer n1                       | n2     | nothing         |
      | n1 ejected         | /days | alder    | peer n2                       | n1     | ejected         |
      | n1 due for a trial | /days | alder    | peer n1                       | n1     | ejected         |
      | n1 silent          | /days | alder    | peer n2                       | n1     | silent          |
      | n1 without slots   | /days | alder    | peer n2                       | n1     | takes-no-calls  |
      | n1 suspect         | /days | alder    | peer n2                       | n1     | suspect         |
      | dc-n1 evacuated    | /days | alder    | peer n2                       | n1     | evacuated       |
      | a busy local       | /days | birch    | peer far                      | n1     | allowed-regions |
      | no link budget     | /days | birch    | rejected 503 no-allowed-target | n1    | allowed-regions |
      | nothing wrong      | /days | cedar    | rejected 503 no-allowed-target | n1    | allowed-regions |
      | nothing wrong      | /days | nobody   | rejected 401 unauthenticated  | n1     | nothing         |
      | nothing wrong      | /days | dogwood  | rejected 401 unauthenticated  | n1     | nothing         |
      | nothing wrong      | /open | nobody   | local me                      | n1     | nothing         |
      | elm over its limit | /days | elm      | rejected 429 allowance-exceeded | n1   | nothing         |
      | an old version     | /days | alder    | rejected 503 configuration-stale | n1  | nothing         |

  # Guards against an allowance that is shown as open while requests are rejected, and the reverse.
  Scenario Outline: The allowance of elm with <state> is <name>
    Given a previewed node with elm <state>
    When the request to /days of elm is previewed
    Then the allowance is <name> and <admits>

    Examples:
      | state           | name         | admits           |
      | open            | open         | admits           |
      | granted         | granted      | admits           |
      | asking          | ask          | is decided later |
      | over its limit  | closed       | rejects          |
      | silent          | owner-silent | is decided later |
      | without a token | owner-silent | rejects          |

  # Guards against questions that are answered with a guess, or that repeat a key given as a name.
  Scenario Outline: A question about <what> is an error
    Given a previewed node with <state>
    Then a preview of <host> <path> for <customer> fails with <status> <error>

    Examples:
      | what                | state            | host     | path  | customer | status | error             |
      | an unknown host     | nothing wrong    | nowhere  | /days | alder    | 404    | unknown-host      |
      | an unknown customer | nothing wrong    | kalender | /days | key-of-a | 404    | unknown-customer  |
      | a malformed path    | nothing wrong    | kalender | days  | alder    | 400    | malformed-request |
      | a malformed host    | nothing wrong    | a/b      | /days | alder    | 400    | malformed-request |
      | no configuration    | no configuration | kalender | /days | alder    | 503    | no-configuration  |

  # Guards against previews that advance a random number, a share, a round-robin or a budget.
  Scenario Outline: Previews change no decision of a node that leaves <how>
    Given two equal nodes that leave <how>, of which one is previewed before each request
    When 200 requests are decided at both
    Then both decided the same, and have the same counters
    And each preview named the target that was chosen next

    Examples:
      | how       |
      | by chance |
      | by time   |
