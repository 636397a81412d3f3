Feature: The promises hold while things fail, alone and two at a time

  Histories of real processes under load: what callers got, and what backend
  servers truly ran, are checked against each other.

  Scenario Outline: <first>, <second>
    Given a deployment of 4 routers before 6 engines and 3 plain servers
    And 24 chat callers and 4 booking callers, seed <seed>
    When this happens: <first>
    And this happens: <second>
    And the fleet serves again
    Then the history keeps the promises "bound, whole, not-run, once"
    And at least 150 answers were whole
    And at most <unknown> percent of the answers were unknown

    Examples: alone
      | seed | unknown | first                              | second  |
      | 11   | 5       | the owner of engines is killed     | nothing |
      | 12   | 5       | the owner of servers is killed     | nothing |
      | 13   | 5       | the owner of engines is frozen     | nothing |
      | 14   | 5       | engine-2 is killed                 | nothing |
      | 15   | 5       | engine-3 is frozen                 | nothing |
      | 16   | 1       | the log is down                    | nothing |
      | 17   | 1       | the log loses answers              | nothing |
      | 18   | 5       | server-1 loses answers             | nothing |
      | 19   | 5       | a router that owns nothing is killed | nothing |
      | 20   | 5       | engine-1 breaks its streams        | nothing |

    Examples: two at a time
      | seed | unknown | first                              | second                         |
      | 31   | 5       | the log is down                    | the owner of engines is killed |
      | 32   | 5       | the owner of engines is frozen     | the log loses answers          |
      | 33   | 8       | the owner of engines is killed     | engine-2 is killed             |
      | 34   | 8       | the owner of servers is killed     | server-1 loses answers         |
      | 35   | 5       | the owner of engines is cut from the log | engine-4 is killed       |
