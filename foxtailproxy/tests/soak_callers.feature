Feature: Callers of the soak test account for each byte

  Scenario Outline: A caller that is sent <bytes> sees <seen>
    When a caller of the soak test sends a look-up and a second one, and is sent <bytes>
    Then the caller sees <seen>

    Examples: Answers
      | bytes                                       | seen                                      |
      | both answers                                | nothing wrong                             |
      | both answers, byte by byte                  | nothing wrong                             |
      | both answers in chunks                      | nothing wrong                             |
      | a failure of the node and an answer         | nothing wrong                             |
      | an answer, and its connection ends          | an end with its answer                    |
      | half of an answer, and its connection ends  | a cut answer                              |
      | half of the chunks, and its connection ends | a cut answer                              |

    Examples: Bytes that are no answer
      | bytes                                       | seen                                      |
      | both answers and a byte                     | InvalidBytes: between answers             |
      | both answers, the first without its body    | status 500 with 1518 bytes of 1518        |
      | the first answer from the middle of a head  | InvalidBytes: in place of a status line   |
      | both answers, the first with its body twice | InvalidBytes: in place of a status line   |
      | both answers, the first with the status 503 | status 503 with 1518 bytes of 1518        |
      | the second answer first                     | status 200 of attempt 2222222222222222    |
      | both answers, the first without its receipt | status 500 without a receipt              |
      | a failure of the node with a foreign byte   | status 502 without a receipt              |
      | an answer in chunks with a foreign byte     | InvalidBytes: after a chunk               |
      | an answer without an end                    | InvalidBytes: an answer on a kept         |
