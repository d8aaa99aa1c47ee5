Feature: The command line
  Errors are one clear line without a traceback, and exit codes are as documented.

  Scenario Outline: Running foxtailproxy <arguments>
    When foxtailproxy is run with <arguments>
    Then it exits with code <code> and prints <text>

    Examples:
      | arguments                                                   | code | text                             |
      | version                                                     | 0    | 0.1                              |
      | version --json                                              | 0    | {"version":                      |
      | --help                                                      | 0    | Exit codes                       |
      | config apply --help                                         | 0    | Example: foxtailproxy config     |
      | no-such-command                                             | 2    | No such command                  |
      | status not-an-address                                       | 2    | is not an address as IP:PORT     |
      | config check DATA/rules-valid.ini                           | 0    | valid: 1 services, 2 classes     |
      | config check DATA/rules-many-errors.ini                     | 3    | 6 invalid setting(s)             |
      | config check DATA/none.ini                                  | 3    | No such file                     |
      | node DATA/node-valid.ini --check                            | 0    | valid                            |
      | node DATA/node-many-errors.ini                              | 3    | [limits] silence_ms = '5'        |
      | where --node 127.0.0.1:1 --host kalender                    | 5    | ConnectionRefusedError           |
      | where --host kalender                                       | 2    | Missing option '--node'          |
      | status 127.0.0.1:1                                          | 5    | ConnectionRefusedError           |
      | config show --platform http://127.0.0.1:1                   | 5    | platform: ConnectionRefusedError |
      | config apply DATA/rules-valid.ini --platform http://127.0.0.1:1 | 5 | platform: ConnectionRefusedError |
      | explain a1 DATA/none.log                                    | 3    | No such file                     |
      | explain zz DATA/log-n1.log                                  | 1    | no line names the request zz     |

  Scenario Outline: foxtailproxy explain <id> shows <what>
    When foxtailproxy is run with explain <id> DATA/log-n1.log DATA/log-n2.log
    Then it exits with code 0 and prints <text>

    Examples:
      | id | what                      | text                                                        |
      | a1 | the nodes                 | request a1: 2 node(s)                                       |
      | a1 | why it was handed back    | send #0 failed: not-run faster-elsewhere (handed back       |
      | a1 | what it was chosen from   | target n2 expected in 159 ms by a report 747 ms old         |
      | a1 | what the caller was told  | caller told: not-run overloaded (the expected wait          |
      | a1 | its inner calls           | calls that it made:                                         |
      | a1 | beliefs before it         | member_changed member=n3 state=dead                         |
      | b2 | a refusal                 | refused no-configuration (the node had no configuration yet) |
      | c3 | a time that was over      | unknown deadline (the route's timeout or the caller's own   |
      | d4 | how an answer ended       | 3251 bytes framed by close, ended by StrayResponse; the connection had carried 1 exchange(s), other responses: 0 before the answer, 1 inside |
      | d4 | a response that was cut   | response_cut attempt=d4 bytes=3251 error=BodyTruncated      |
