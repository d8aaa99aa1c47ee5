Feature: Crowds of clients that send requests of legal size and do not finish them, with real processes
  A node is told that its instance has little memory and few descriptors. The crowd stays connected while the node is checked. The largest
  memory that the node has held and its open descriptors stay within what it was told, and an ordinary request is answered.

  # Guards against a node that runs out of memory or descriptors (a process of a trial did).
  Scenario Outline: <count> clients at the <port> port send <traffic>
    Given a node whose instance has 80 MB and <fds> descriptors
    When <count> clients at the <port> port send <traffic>
    Then the node lives within its memory and descriptors and answers an ordinary request at the <port> port
    And after the crowd has left, it answers an ordinary request at the <port> port

    Examples:
      | port    | count | traffic                                       | fds  |
      | caller  | 150   | heads of 4-byte lines and an unfinished body  | 1000 |
      | caller  | 150   | heads of odd lines and an unfinished body     | 1000 |
      | caller  | 150   | unfinished heads of 4-byte lines              | 1000 |
      | caller  | 120   | bodies in 1-byte chunks without their end     | 1000 |
      | caller  | 400   | bodies in 256 KB chunks without their end     | 1000 |
      | caller  | 40    | many requests behind one that still runs      | 1000 |
      | caller  | 20    | many requests and read no answer              | 1000 |
      | caller  | 300   | nothing or half a head                        | 200  |
      | control | 150   | heads of 4-byte lines and an unfinished body  | 1000 |
      | control | 120   | bodies in 1-byte chunks without their end     | 1000 |
      | control | 300   | nothing or half a head                        | 200  |
      | ready   | 150   | heads of 4-byte lines and an unfinished body  | 1000 |
      | ready   | 300   | nothing or half a head                        | 200  |
