Feature: Calls that wait while another process takes the upstream's address

  # Guards against a call that is run by a service other than its own: an address is assigned again to
  # another service, and the calls that waited for the process before are sent to the new one.
  Scenario Outline: A call waits for <wait> while <process> is announced
    Given a target of kalender with one slot
    When a call waits for <wait>
    And the address is taken by <process>
    Then the call ends as <outcome> and was sent to <recipient>

    Examples:
      | wait         | process                             | outcome     | recipient |
      | a slot       | a process of meistrid               | no-target   | nobody    |
      | a slot       | a process of kalender that has left | leaving     | nobody    |
      | a slot       | another process of kalender         | nothing yet | i-2       |
      | a connection | a process of meistrid               | no-target   | nobody    |
      | a connection | a process of kalender that has left | leaving     | nobody    |
      | a connection | another process of kalender         | target-down | nobody    |

  # Guards against a new process that takes no calls because a connection to the one before failed.
  Scenario: A connection to a process fails after another one was announced
    Given a target of kalender with one slot
    When a call waits for a connection
    And the address is taken by another process of kalender
    But the connection is refused
    Then the call ends as target-down and was sent to nobody
    And the target serves

  # Guards against a process that is taken for one that has left because its predecessor's calls ended.
  Scenario: A call to a process is misdirected after another one was announced
    Given a target of kalender with one slot
    When a call runs and the address is taken by another process of kalender
    And the upstream answers that it is not the process that was expected
    Then the target serves
