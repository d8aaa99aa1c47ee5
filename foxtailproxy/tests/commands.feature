Feature: The command line
  Errors are one clear line without a traceback, and exit codes are as documented.

  Scenario Outline: foxtailproxy <arguments>
    When foxtailproxy is run with <arguments>
    Then it ends with exit code <code> and says <text>

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
      | status 127.0.0.1:1                                          | 5    | ConnectionRefusedError           |
      | config show --platform http://127.0.0.1:1                   | 5    | platform: ConnectionRefusedError |
      | config apply DATA/rules-valid.ini --platform http://127.0.0.1:1 | 5 | platform: ConnectionRefusedError |
