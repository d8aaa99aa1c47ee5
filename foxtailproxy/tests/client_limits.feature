Feature: Limits for all clients of a node together

  # Guards against an ordinary request that is closed for what others hold, and against memory above its limit.
  Scenario Outline: Clients that hold <held> bytes with a limit of 1000 for all
    When clients hold <held> bytes
    Then the clients <closed> are closed and the others hold <left> bytes

    Examples:
      | held             | closed | left |
      | 300 300 300      | none   | 900  |
      | 10 600 300 200   | 2      | 510  |
      | 10 400 500 20 90 | 3      | 520  |
      | 2000 10          | 1      | 10   |

  # Guards against limits that refuse what the pages allow, or that keep a request which does not progress.
  Scenario Outline: A client alone that sends <request>
    Given a server whose clients are limited
    When the limited client sends <request>
    Then the limited client <result>

    Examples:
      | request                                       | result           |
      | 4,000 header lines of 4 bytes                 | reads status 200 |
      | 800 header lines of 20 bytes                  | reads status 200 |
      | 9,000 header lines of 4 bytes                 | reads status 431 |
      | a body in chunks of 1 byte                    | reads status 200 |
      | a body with a byte each 14 s                  | reads status 200 |
      | half a body and nothing for 16 s              | is disconnected  |
      | a body and a trailer without an end           | reads status 431 |
      | a body that waits for a request before it     | reads nothing    |
      | half a body, and gets an answer in parts      | reads all parts  |

  # Guards against new clients that are kept out by silent ones, and against a running request that is closed for them.
  Scenario Outline: A third client of a server for two clients, of which the first <first> and the second <second>
    Given a server whose clients are limited
    When the first client <first>, the second <second>, and a third one connects
    Then of the three, just <closed> is closed

    Examples:
      | first                        | second                       | closed     |
      | is silent                    | is silent                    | the first  |
      | has a request that runs      | is silent                    | the second |
      | has sent half a body         | has a request that runs      | the first  |
      | has a request that runs      | has a request that runs      | the third  |
