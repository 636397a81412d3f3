Feature: a request that was given up is taken back by a reset

  After an orderly close the kernel goes on sending what it holds. A request that a cut held
  up so arrived seconds later, at a server that had said that it leaves.

  Scenario Outline: what becomes of bytes that were sent: <case>
    Then a connection to a server ends by <end> if its request is <case>

    Examples: given up while an answer is due
      | case                               | end     |
      | given up                           | a reset |
      | given up within its answer         | a reset |
      | answered with bytes that are none  | a reset |
      | answered for another, and given up | a reset |
      | partly sent, and given up          | a reset |

    Examples: nothing is due
      | case                               | end     |
      | answered, and dropped              | a close |
      | answered with the close announced  | a close |
      | none                               | a close |

  Scenario Outline: a request given up on its way is reset at its server: <case>
    Given a gateway before two plain servers
    And backend servers that answer by "<script>"
    When through the gateway a request to "<route>" <case>
    Then <count> servers see a reset

    Examples:
      | case                      | script           | route   | count |
      | is left by its caller     | silent           | /once/  | 1     |
      | reaches its deadline      | silent           | /brief/ | 1     |
      | is taken over             | silent then well | /again/ | 1     |
      | is at work at the stop    | silent           | /once/  | 1     |

  Scenario: a forwarded request that its caller leaves is reset at its server
    Given VMs "vm-1 vm-2 vm-3" before 2 servers of "plain" and 2 of "model"
    And "vm-1" is cut off from all servers
    When a caller of "vm-1" sends a request to "/stream/" and leaves while it runs
    Then its work at the server ends within 0.5 s
    And its server sees a reset

  Scenario: a process that is killed leaves no request behind in its kernel
    Given a gateway process before the servers "i-1"
    When a request is at work and the process is killed
    Then the server "i-1" sees a reset
