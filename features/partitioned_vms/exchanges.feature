Feature: requests of a VM that does not reach the servers take the path through another VM

  Background:
    Given VMs "vm-1 vm-2 vm-3" before 2 servers of "plain" and 2 of "model"

  Scenario Outline: a <path> request is served through another VM
    Given "vm-1" is cut off from all servers
    When a caller of "vm-1" sends a request to "<path>"
    Then it is served with 200, and ran once
    And the lines of "vm-1" name the VM through which it went, and that VM has lines of it

    Examples:
      | path     |
      | /once/   |
      | /again/  |
      | /resume/ |

  Scenario: a request without a body is served through another VM
    Given "vm-1" is cut off from all servers
    When a caller of "vm-1" sends a GET to "/again/"
    Then it is served with 200, and ran once

  Scenario: what servers and callers get is as on the direct path
    Given "vm-1" is cut off from all servers
    When a caller of "vm-1" sends a request to "/once/"
    Then its server got the method, target, body and id of the caller
    And neither its server nor its caller got a header of those that VMs send each other

  Scenario: a refusal of the service's servers is passed on with its Retry-After
    Given "vm-1" is cut off from all servers
    And all servers ask for a rest of 1 s
    When a caller of "vm-1" sends a request to "/once/"
    Then it is refused with 503 and a Retry-After, and ran on no server

  Scenario: all VMs are cut off
    Given "vm-1 vm-2 vm-3" is cut off from all servers
    When a caller of "vm-1" sends a request to "/once/"
    Then it is refused within 50 ms with 503 and a Retry-After, and ran on no server

  Scenario: the caller leaves
    Given "vm-1" is cut off from all servers
    When a caller of "vm-1" sends a request to "/stream/" and leaves while it runs
    Then its work at the server ends within 0.5 s

  Scenario: the other VM dies in the middle of a stream that can be resumed
    Given "vm-1" is cut off from all servers
    When the VM that forwards a request to "/resume/" of "vm-1" dies in the middle
    Then the caller gets all events in order

  Scenario: the other VM dies while it forwards a request that must not run twice
    Given "vm-1" is cut off from all servers
    When the VM that forwards a request to "/once/" of "vm-1" dies in the middle
    Then the caller gets 502, and it ran once

  Scenario: the other VM does not confirm the request
    Given "vm-1" is cut off from all servers
    And "vm-2" accepts requests of other VMs and says nothing
    When callers of "vm-1" send 6 requests to "/once/"
    Then each is served within 0.5 s, and ran once

  Scenario: the other VM is cut off too, and says so only when asked
    Given "vm-1 vm-2" is cut off from all servers
    When callers of "vm-1" send 6 requests to "/once/"
    Then each is served within 0.5 s, and ran once

  Scenario Outline: callers got 502 through a VM that had just started, whose connections were <ended>
    # It was cut off too, and had no answer of a server yet.
    Given "vm-1" is cut off from all servers
    And connections of "vm-2" to servers are <ended>, and it does not know it yet
    When callers of "vm-1" send 6 requests to "/once/"
    Then each is served within 0.5 s, and ran once

    Examples:
      | ended                    |
      | reset once established   |
      | closed once established  |
      | reset once data arrives  |
      | closed once data arrives |

  Scenario Outline: callers got 502 on and on, as connections were <ended>
    # Probes that send nothing found the path working each time.
    Given connections of "vm-1" to servers are <ended>, and it does not know it yet
    When a caller of "vm-1" sends requests to "<path>" for 5 s
    Then from 1.5 s on at least 0.95 of them are served, none within more than 0.4 s

    Examples:
      | ended                    | path    |
      | reset once established   | /once/  |
      | closed once established  | /once/  |
      | reset once data arrives  | /once/  |
      | closed once data arrives | /again/ |

  Scenario: a VM that says that it is cut off is not asked
    Given "vm-1 vm-2" is cut off from all servers
    And "vm-1" has heard that "vm-2" is cut off
    When callers of "vm-1" send 6 requests to "/once/"
    Then each is served within 0.5 s, and ran once
    And "vm-2" has no line on them

  Scenario: the other VM finds that it is cut off too, and does not pass the request on again
    Given "vm-2" finds no connection to any server, and does not know it yet
    When "vm-1" sends "vm-2" a request to forward of version "1"
    Then it is refused with 503 and the reason "ramppin-forward-refused"

  Scenario: the path is back
    Given "vm-1" is cut off from all servers
    When a caller of "vm-1" sends a request to "/once/"
    And "vm-1" reaches its servers again
    Then within 3 s requests of "vm-1" take the direct path

  Scenario Outline: <case> is refused, and runs on no server
    When <who> sends "vm-2" a request to forward of version "<version>"
    Then it is refused with <status> and the reason "<reason>"
    And "vm-2" has a line on it

    Examples:
      | case                  | who         | version | status | reason                |
      | a request of outside  | an outsider | 1       | 403    | not a VM of the fleet |
      | an unknown version    | "vm-1"      | 2       | 400    | unknown version       |
      | no version            | "vm-1"      |         | 400    | unknown version       |

  Scenario: a caller's header does not make a request a forwarded one
    Given "vm-1" is cut off from all servers
    When a caller of "vm-1" sends a request to "/once/" with a forwarding header
    Then it is served with 200, and ran once
    And neither its server nor its caller got a header of those that VMs send each other

  Scenario Outline: a server that <does> an empty line shows that the path works: <works>
    When a VM that has just started probes a server that <does> an empty line
    Then its path is proven: <works>

    Examples:
      | does                      | works |
      | ignores                   | yes   |
      | answers                   | yes   |
      | closes the connection on  | no    |

  Scenario: a request went over a connection on which an empty line had been sent
    When a VM that has just started probes a server that ignores an empty line
    Then no request goes over the connections of its probes

  Scenario Outline: a VM forwarded for no other, as its number was taken: <number>
    When a gateway starts whose first number is taken for connections, <number>
    Then it accepts requests of other VMs: <accepts>

    Examples:
      | number     | accepts |
      | chosen     | yes     |
      | configured | no      |
