Feature: Bad input and strangers get a clear error, and harm nobody

  Scenario Outline: Generated <input>
    Given a fleet of 1 routers before 1 engines and 1 plain servers
    When generated <input> comes in
    Then each got an error or a closed connection
    And nothing hangs, and a chat is served

    Examples:
      | input                                |
      | bytes at the callers' port           |
      | bytes at the operators' port         |
      | bytes at the peers' port             |
      | CBOR frames on a link with the key   |
      | JSON bodies of chats                 |
      | changes of the settings              |

  Scenario Outline: A caller that sends <what> gets <status>
    Given a fleet of 1 routers before 1 engines and 1 plain servers
    When a caller sends <what>
    Then it gets <status> with "<code>"
    And nothing hangs, and a chat is served

    Examples:
      | what                          | status | code               |
      | a body that is too large      | 413    | body_too_large     |
      | a body that never ends        | 408    | body_timeout       |
      | no key                        | 401    | invalid_api_key    |
      | another's key in lower case   | 401    | invalid_api_key    |
      | a deadline that is no time    | 400    | bad_request        |
      | an unknown path               | 404    | not_found          |
      | an unknown service            | 404    | service_not_found  |
      | a method that is not allowed  | 405    | method_not_allowed |

  Scenario Outline: A stranger at the <port>, <how>, is refused and logged
    Given a fleet of 1 routers before 1 engines and 1 plain servers
    When a stranger comes to the <port>, <how>
    Then it gets status <status> and nothing else
    And the refusal is logged

    Examples:
      | port      | how                         | status |
      | operators | without a key               | 401    |
      | operators | with a caller's key         | 401    |
      | peers     | without a key               | 401    |
      | peers     | with the operators' key     | 401    |
      | peers     | of another protocol version | 426    |
