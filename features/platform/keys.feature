Feature: whether requests need a key is a fact of the configuration, not of the keys that are left

  Scenario Outline: with the last key gone any key opened a route: <tenants>
    Then under a configuration with "<tenants>" a request with the key "<key>" on a <route> route is "<found>"

    Examples: TENANT=KEY,KEY for each tenant; "no tenants" leaves the field out
      | tenants            | key     | route   | found           |
      | a=k1               | k1      | private | a               |
      | a=k1               | k2      | private | 401 unknown key |
      | a=                 | k1      | private | 401 unknown key |
      | a=                 | none    | private | 401 unknown key |
      | a=                 | k1      | public  | no customer     |
      | empty list         | k1      | private | 401 unknown key |
      | empty list         | none    | private | 401 unknown key |
      | empty list         | k1      | public  | no customer     |
      | no tenants         | k1      | private | no customer     |
      | no tenants         | none    | private | no customer     |
      | a=k1 b=            | k1      | private | a               |
      | a= b=k1            | k1      | private | b               |
      | a=k1 b=k1          | k1      | private | b               |
      | a=<blank>          | empty   | private | 401 unknown key |
      | a=<blank>,k1       | k1      | private | a               |
      | a=k1               | revoked | public  | no customer     |
      | a=k1               | k1      | public  | a               |

  Scenario Outline: keys are taken away from a running VM: <tenants>
    Given a gateway process before the servers "i-1 i-2"
    When version 2 of the configuration has "<tenants>"
    Then a request with the key "k1" is soon answered 401
    And requests with the keys "k1 strange none" are answered 401 and reach no server

    Examples:
      | tenants    |
      | a=         |
      | empty list |

  Scenario: a configuration that can't be read opens no route after keys were taken away
    Given a gateway process before the servers "i-1 i-2"
    When version 2 of the configuration has "a="
    And version 3 of the configuration has "unreadable"
    Then a request with the key "k1" is soon answered 401
    And requests with the keys "k1 strange none" are answered 401 and reach no server

  Scenario: a key that moves to another tenant carries that one's name
    Given a gateway process before the servers "i-1 i-2"
    When version 2 of the configuration has "t1= t2=k1"
    Then soon a request with the key "k1" reaches a server as one of "t2", whatever tenant its caller names
