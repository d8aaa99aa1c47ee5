Feature: Answers whose status is none
  The reactor is in memory. Each answer comes with a length, in chunks and until its connection closes.

  # Guards against a caller that waits until its deadline for an answer that came, or gets one with a status that does not exist.
  Scenario Outline: <server> answers a call with status <status> and a body
    When <server> answers a call with status <status> and a body
    Then the call ends at once as <outcome>, each time, and the connection is aborted

    Examples: From an upstream
      | server      | status | outcome               |
      | an upstream | 000    | unknown upstream-lost |
      | an upstream | 001    | unknown upstream-lost |
      | an upstream | 099    | unknown upstream-lost |
      | an upstream | 101    | unknown upstream-lost |
      | an upstream | 102    | unknown upstream-lost |
      | an upstream | 199    | unknown upstream-lost |
      | an upstream | 600    | unknown upstream-lost |
      | an upstream | 999    | unknown upstream-lost |
      | an upstream | 20     | unknown upstream-lost |
      | an upstream | 2000   | unknown upstream-lost |
      | an upstream | -20    | unknown upstream-lost |
      | an upstream | 2e2    | unknown upstream-lost |

    Examples: From another node
      | server       | status | outcome           |
      | another node | 000    | unknown peer-lost |
      | another node | 001    | unknown peer-lost |
      | another node | 099    | unknown peer-lost |
      | another node | 101    | unknown peer-lost |
      | another node | 102    | unknown peer-lost |
      | another node | 199    | unknown peer-lost |
      | another node | 600    | unknown peer-lost |
      | another node | 999    | unknown peer-lost |
      | another node | 20     | unknown peer-lost |
      | another node | 2000   | unknown peer-lost |
      | another node | -20    | unknown peer-lost |
      | another node | 2e2    | unknown peer-lost |

    Examples: Statuses that exist
      | server       | status | outcome  |
      | an upstream  | 200    | answered |
      | an upstream  | 404    | answered |
      | an upstream  | 599    | answered |
      | another node | 200    | answered |
      | another node | 599    | answered |

  # Guards against a heartbeat, or another interim answer, that ends its call.
  Scenario Outline: <server> sends the interim status <status> without a body before its answer
    When <server> answers a call with status 200 after the interim status <status>
    Then the call ends at once as answered, each time, and the connection is open

    Examples:
      | server       | status |
      | an upstream  | 100    |
      | an upstream  | 102    |
      | an upstream  | 199    |
      | another node | 100    |
      | another node | 102    |
      | another node | 199    |

  # Guards against a health check that waits until its time is up for an answer that came.
  Scenario Outline: A health check is answered with status <status> and a body
    When a health check is answered with status <status> and a body
    Then it ends at once, each time, and the upstream does not count as healthy

    Examples:
      | status |
      | 000    |
      | 099    |
      | 101    |
      | 199    |
      | 600    |
