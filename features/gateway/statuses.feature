Feature: a head whose status is none of HTTP's is no answer

  Scenario Outline: a client got an answer of status 000, or waited for its deadline: <status>, <route>
    # A server in trouble sent a head with a status that HTTP does not have.
    Given a gateway before two plain servers
    And backend servers that answer by "status <status>"
    When through the gateway a caller sends a request to "<route>"
    Then the answer is 502 and whole
    And the body is ""
    And the request took less than 0.5 s

    Examples: requests that may run once, the deadline is 10 s
      | status     | route  |
      | 000        | /once/ |
      | 000 closed | /once/ |
      | 001        | /once/ |
      | 099        | /once/ |
      | 099 closed | /once/ |
      | 101        | /once/ |
      | 600        | /once/ |
      | 600 closed | /once/ |
      | 700        | /once/ |
      | 999        | /once/ |
      | 20         | /once/ |
      | 2000       | /once/ |
      | -1         | /once/ |
      | none       | /once/ |

    Examples: requests that may be repeated
      | status     | route   |
      | 000        | /again/ |
      | 099        | /again/ |
      | 600        | /again/ |
      | 999        | /again/ |

  Scenario Outline: another server answers what one answered with no status of HTTP: <status>
    Given a gateway before two plain servers
    And backend servers that answer by "status <status> then well"
    When through the gateway a caller sends a request to "/again/"
    Then the answer is 200 and whole
    And the request took less than 0.5 s

    Examples:
      | status |
      | 000    |
      | 099    |
      | 101    |
      | 600    |
      | 999    |

  Scenario Outline: a request that another VM serves gets none of them: <status>, <path>
    Given VMs "vm-1 vm-2 vm-3" before 2 servers of "plain" and 2 of "model"
    And "vm-1" is cut off from all servers
    And the servers of the fleet answer by "status <status>"
    When a caller of "vm-1" sends a request to "<path>"
    Then the caller gets 502 within 0.5 s

    Examples:
      | status | path     |
      | 000    | /once/   |
      | 600    | /once/   |
      | 000    | /stream/ |
      | 999    | /again/  |

  Scenario Outline: what a head begins: <status>
    Then a head with the status <status> begins "<kind>"

    Examples:
      | status | kind      |
      | 0      | NO_ANSWER |
      | 99     | NO_ANSWER |
      | 100    | INTERIM   |
      | 101    | NO_ANSWER |
      | 102    | INTERIM   |
      | 199    | INTERIM   |
      | 200    | FINAL     |
      | 599    | FINAL     |
      | 600    | NO_ANSWER |
      | 999    | NO_ANSWER |
