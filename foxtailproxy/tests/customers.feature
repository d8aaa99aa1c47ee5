Feature: Customers
  The network is in memory, and the clock moves only when the test advances it.

  # Guards against requests that run without a known key, keys that reach an upstream, and names of
  # customers that a caller made up.
  Scenario Outline: A request to the <route> route of the <dialect> dialect with <headers>
    Given a node with the <dialect> dialect and the customers alder and birch
    When a request to the <route> route of the entry node arrives with <headers>
    Then the entry node answers with status <status>
    And the upstream gets the customer <customer> and no key

    # alder has the keys k-alder-1 and k-alder-2, birch has k-birch.
    Examples:
      | dialect  | route | headers                                               | status | customer |
      | platform | bound | authorization: Bearer k-alder-1                       | 200    | alder    |
      | platform | bound | authorization: bearer  k-alder-2                      | 200    | alder    |
      | platform | bound | authorization: Bearer k-birch                         | 200    | birch    |
      | platform | bound | authorization: Bearer k-ALDER-1                       | 401    | -        |
      | platform | bound | authorization: Bearer k-alder                         | 401    | -        |
      | platform | bound | authorization: Bearer                                 | 401    | -        |
      | platform | bound | authorization: Basic k-alder-1                        | 401    | -        |
      | platform | bound | accept: any                                           | 401    | -        |
      | platform | bound | authorization: Bearer k-birch, authorization: Bearer k-alder-1 | 401 | - |
      | platform | bound | x-foxtailproxy-tenant: alder                          | 401    | -        |
      | platform | bound | idempotency-key: i1                                   | 401    | -        |
      | platform | bound | authorization: Bearer k-birch, x-foxtailproxy-tenant: alder | 200 | birch |
      | platform | bound | authorization: Bearer k-birch, connection: x-foxtailproxy-tenant | 200 | birch |
      | platform | open  | authorization: Bearer k-birch                         | 200    | birch    |
      | platform | open  | authorization: Bearer unknown                         | 200    | none     |
      | platform | open  | x-foxtailproxy-tenant: alder                          | 200    | none     |
      | platform | lost  | accept: any                                           | 404    | -        |
      | foxtail  | bound | authorization: Bearer k-birch, x-tenant: alder        | 200    | birch    |
      | foxtail  | bound | x-tenant: alder                                       | 401    | -        |
      | foxtail  | bound | idempotency-key: i1                                   | 401    | -        |
      | foxtail  | open  | authorization: Bearer unknown, x-tenant: alder        | 200    | none     |

  # Guards against a repeat that is told that a request has not run although an earlier send may have.
  Scenario: A repeated request whose customer's key has been withdrawn has an unknown outcome
    Given a node with the foxtail dialect and the customers alder and birch
    When a request to the bound route of the entry node arrives with idempotency-key: i1
    Then the answer has status 401 and contains unknown; reason=unauthenticated
    When a request to the bound route of the entry node arrives with idempotency-key: i1, foxtail-first-send: 1
    Then the answer has status 401 and contains not-run; reason=unauthenticated

  # Guards against a change of behaviour where a configuration has no customers.
  Scenario: Without customers, requests pass with the headers that their caller sent
    Given a node with the platform dialect and no customers
    When a request to the bound route of the entry node arrives with authorization: Bearer x, x-tenant: t, x-foxtailproxy-tenant: u
    Then the entry node answers with status 200
    And these headers reach the upstream: authorization: Bearer x, x-tenant: t, x-foxtailproxy-tenant: u
    And the tenant at the entry node is t

  # Guards against 401 from a node that does not know which keys there are.
  Scenario: A node without a configuration answers 503
    Given a node with the platform dialect and no configuration
    When a request to the bound route of the entry node arrives with accept: any
    Then the entry node answers with status 503

  # Guards against requests that run by a key which was withdrawn before they were complete.
  Scenario Outline: The key <key> is <change> while a request's body arrives
    Given a node with the platform dialect and the customers alder and birch
    When a request with the key <key> arrives without the end of its body
    And a configuration is adopted in which <customers>
    And the rest of the body arrives at the entry node
    Then the entry node answers with status <status>
    And the upstream gets the customer <customer> and no key

    Examples:
      | key       | change          | customers                     | status | customer |
      | k-alder-1 | withdrawn       | alder has k-alder-2           | 401    | -        |
      | k-alder-1 | kept            | alder has k-alder-1           | 200    | alder    |
      | k-alder-1 | given to cherry | cherry has k-alder-1          | 200    | cherry   |

  # Guards against a request that runs by a key which was withdrawn while its claim was acquired.
  Scenario: A key is withdrawn while a request waits for its idempotency key
    Given a node with the foxtail dialect and the customers alder and birch
    When a request to the bound route of the entry node arrives with authorization: Bearer k-alder-1, idempotency-key: i1
    And a configuration is adopted in which alder has k-alder-2
    And the entry node acquires the claim
    Then the entry node answers with status 401
    And the upstream gets the customer - and no key

  # Guards against requests decided by another customer's key, or by an older version, under load.
  Scenario: 77 customers send 4000 requests while every third key is withdrawn
    Given a node with the platform dialect and 77 customers
    When 4000 requests of all customers arrive, and every third key is withdrawn in between
    Then each request got the status that its key has in the version in force
    And each call that ran has the name of its key's customer

  # Guards against terms of a customer that are ignored, or wider than those of the route.
  Scenario Outline: A route with priority 5 and regions <route> for a customer with <priority> and <customer>
    When the rule of a route with regions <route> is computed for priority <priority> and regions <customer>
    Then the effective rule has priority <result>, weight <weight> and regions <regions>

    Examples:
      | route | priority | customer | result | weight | regions |
      | -     | -1       | -        | 5      | 1      | -       |
      | -     | 9        | -        | 9      | 12     | -       |
      | -     | 8        | -        | 8      | 6      | -       |
      | -     | 0        | -        | 0      | 1      | -       |
      | a     | -1       | -        | 5      | 1      | a       |
      | -     | 3        | a b      | 3      | 1      | a b     |
      | a b   | 3        | b c      | 3      | 1      | b       |
      | a     | 3        | b        | none   | none   | none    |

  # Guards against keys in logs, errors and differences.
  Scenario: No key is shown outside of the configuration itself
    Given a node with the platform dialect and the customers alder and birch
    When requests with known and unknown keys are answered, logged and counted
    And configurations with keys are compared and rejected
    Then no key is in the collected texts
    And the results of the authentication are counted

  # Guards against nodes that accept withdrawn keys although they cannot know of a newer version.
  Scenario Outline: Of 12 nodes with fail-closed <setting>, <nodes> reject after <fault>
    Given 12 nodes with the platform's configuration, and fail-closed <setting>
    When for <ms> ms the fleet meets this: <fault>
    Then <nodes> nodes reject requests that need a key

    Examples:
      | setting | fault                            | ms    | nodes |
      | on      | nothing                          | 60000 | 0     |
      | on      | the store is cut off from 2      | 20000 | 0     |
      | on      | the store is cut off from all    | 2000  | 0     |
      | on      | the store is cut off from all    | 9000  | 12    |
      | on      | the store is away and comes back | 30000 | 0     |
      | on      | one node is cut off from all     | 9000  | 1     |
      | off     | the store is cut off from all    | 60000 | 0     |

  # Guards against a restarted node that returns to a version in which a withdrawn key is valid.
  Scenario Outline: A node restarts while the store <state>
    Given 6 nodes with the platform's configuration, and fail-closed off
    When the key of version 7 is withdrawn by version 8, and the store <state>
    And a node restarts as the first watcher
    Then that node never has version 7 in force, and has version 8 within 2000 ms

    Examples:
      | state                           |
      | answers                         |
      | is silent                       |
      | came back with its older copy   |

  # Guards against a change of keys that does not reach all nodes in time, or is taken back.
  Scenario: Keys are added and withdrawn by versions
    Given 6 nodes with the platform's configuration, and fail-closed off
    When the key of version 7 is withdrawn by version 8, and the store answers
    Then all nodes know just the key of version 8 within 2500 ms
    When the store came back with its older copy
    Then all nodes know just the key of version 8 within 5000 ms

  Scenario: A key is withdrawn while both watchers have lost the store
    Given 6 nodes with the platform's configuration, and fail-closed on
    When for 0 ms the fleet meets this: the store is cut off from 2
    And the key of version 7 is withdrawn by version 8, and the store answers
    Then all nodes know just the key of version 8 within 2500 ms
    And 0 nodes reject requests that need a key
