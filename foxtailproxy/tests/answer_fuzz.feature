Feature: Random histories of the connections to an upstream
  In memory and without real time. More seeds by hand: python -m foxtailproxy.tests.answer_fuzz FIRST_SEED COUNT

  # Guards against a wrong or partial answer that a caller reads as a complete one, and against a whole one that is refused.
  Scenario Outline: What a reader takes for complete is what the upstream answered, with <count> seeds from <first>
    When the histories of <count> seeds from <first> are played
    Then each complete answer is the one that the upstream gave, and none is refused without a cause

    Examples:
      | first | count |
      | 0     | 1000  |
      | 1000  | 1000  |
      | 2000  | 1000  |

  # Guards against wrong ends that these seeds showed once.
  Scenario Outline: <seed>: <what>
    When the histories of 1 seeds from <seed> are played
    Then each complete answer is the one that the upstream gave, and none is refused without a cause

    Examples:
      | seed    | what                                                 |
      | 18957   | a quoted error behind a copy that is cut in a header |
      | 30724   | a copy that begins in a quoted header                |
      | 900596  | a copy that is cut behind the name of its receipt    |
      | 900949  | a copy that is cut there, behind another one         |
      | 2011708 | a copy that is cut there, and an interim response    |

  # Guards against a wrong end in the target or in its pool of connections, which repeat a call that may run again.
  Scenario Outline: The same over real sockets, with <count> seeds from <first>
    When the histories of <count> seeds from <first> are played through a target
    Then each complete answer is the one that the upstream gave, and none is refused without a cause

    Examples:
      | first | count |
      | 160   | 40    |

  # Guards against a generator that leaves out what the histories are for.
  Scenario: The histories hold all kinds of answers, copies and ends
    When the histories of 1000 seeds from 0 are made
    Then at least 100 answers have each method, framing and kind of reader, and each end of the connection
    And at least 100 histories have a copy before, inside and behind an answer and while idle, and a cut
