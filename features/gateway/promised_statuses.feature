Feature: a status that promises that a request has not run is sent only if that is known

  Scenario Outline: a booking that ran was answered as not run and booked twice: <status>, <path>, <way>
    # A failing server ran the request and answered without the mark of a rejection.
    Given VMs "vm-1 vm-2 vm-3" before 2 servers of "plain" and 2 of "model"
    And the path of "vm-1" to all servers is <way>
    And all servers run a request and answer <status> with "<headers>"
    When a caller of "vm-1" sends a request to "<path>"
    Then its caller gets <answer>

    Examples: requests that must not run twice
      | way           | path     | status | headers              | answer           |
      | direct        | /once/   | 503    |                      | 502 of the VM    |
      | direct        | /once/   | 503    | Retry-After: 1       | 502 of the VM    |
      | direct        | /once/   | 429    | Retry-After: 1       | 502 of the VM    |
      | direct        | /once/   | 408    |                      | 502 of the VM    |
      | direct        | /once/   | 425    |                      | 502 of the VM    |
      | direct        | /stream/ | 503    | Retry-After: 1       | 502 of the VM    |
      | direct        | /stream/ | 429    |                      | 502 of the VM    |
      | direct        | /once/   | 500    | Retry-After: 1       | 500 of the server |
      | direct        | /once/   | 504    | Retry-After: 1       | 504 of the server |
      | direct        | /once/   | 404    |                      | 404 of the server |
      | direct        | /once/   | 302    | Retry-After: 1       | 302 of the server |
      | through a VM  | /once/   | 503    |                      | 502 of the VM    |
      | through a VM  | /once/   | 503    | Retry-After: 1       | 502 of the VM    |
      | through a VM  | /once/   | 429    | Retry-After: 1       | 502 of the VM    |
      | through a VM  | /once/   | 408    |                      | 502 of the VM    |
      | through a VM  | /stream/ | 503    | Retry-After: 1       | 502 of the VM    |
      | through a VM  | /once/   | 500    | Retry-After: 1       | 500 of the server |

    Examples: requests that may run again
      | way           | path     | status | headers              | answer            |
      | direct        | /again/  | 503    |                      | 503 of the server |
      | direct        | /again/  | 429    | Retry-After: 1       | 429 of the server |
      | direct        | /resume/ | 503    | Retry-After: 1       | 503 of the server |
      | through a VM  | /again/  | 503    |                      | 503 of the server |

  Scenario Outline: a refusal of a request that has not run keeps its promise: <path>, <way>
    Given VMs "vm-1 vm-2 vm-3" before 2 servers of "plain" and 2 of "model"
    And the path of "vm-1" to all servers is <way>
    And all servers ask for a rest of 1 s
    When a caller of "vm-1" sends a request to "<path>"
    Then it is refused with 503 and a Retry-After, and ran on no server

    Examples:
      | way          | path     |
      | direct       | /once/   |
      | direct       | /stream/ |
      | through a VM | /once/   |
      | through a VM | /stream/ |

  Scenario Outline: a VM of another version relayed a server's <status>, which promised too much
    Given VMs "vm-1 vm-2" before 2 servers of "plain" and 2 of "model"
    And "vm-1" is cut off from all servers
    And "vm-2" answers requests of other VMs with <status> and "<headers>"
    When a caller of "vm-1" sends a request to "<path>"
    Then its caller gets <answer>

    Examples:
      | path     | status | headers                         | answer            |
      | /once/   | 503    | Retry-After: 1                  | 502 of the VM     |
      | /once/   | 429    |                                 | 502 of the VM     |
      | /stream/ | 408    |                                 | 502 of the VM     |
      | /once/   | 421    |                                 | 502 of the VM     |
      | /once/   | 503    | Ramppin-Confirmed-Not-Run: 1    | 503 of the server |
      | /again/  | 503    | Retry-After: 1                  | 503 of the server |

  Scenario Outline: what a caller may be told: <known>, <kind>, <ending> <status>
    Then with a request that <known>, on a "<kind>" route, a final "<ending> <status>" with a pause becomes "<sent>"

    Examples: nothing is promised of a request that may have run once
      | known        | kind       | ending | status | sent           |
      | may have run | once       | RELAY  | 408    | REFUSE 502     |
      | may have run | once       | RELAY  | 421    | REFUSE 502     |
      | may have run | once       | RELAY  | 425    | REFUSE 502     |
      | may have run | once       | RELAY  | 429    | REFUSE 502     |
      | may have run | once       | RELAY  | 503    | REFUSE 502     |
      | may have run | once       | REFUSE | 503    | REFUSE 502     |
      | may have run | once       | RELAY  | 500    | RELAY 500      |
      | may have run | once       | RELAY  | 502    | RELAY 502      |
      | may have run | once       | RELAY  | 404    | RELAY 404      |
      | may have run | once       | REFUSE | 504    | REFUSE 504     |
      | may have run | once       | CUT    | 503    | CUT 503        |
      | may have run | stream     | RELAY  | 503    | REFUSE 502     |
      | may have run | stream     | RELAY  | 429    | REFUSE 502     |
      | may have run | stream     | RELAY  | 500    | RELAY 500      |

    Examples: a server's answer to a request that may run again goes on, the VM's own promises nothing
      | known        | kind       | ending | status | sent           |
      | may have run | repeatable | RELAY  | 503    | RELAY 503 0.25 |
      | may have run | repeatable | RELAY  | 429    | RELAY 429 0.25 |
      | may have run | repeatable | REFUSE | 503    | REFUSE 502     |
      | may have run | resumable  | RELAY  | 503    | RELAY 503 0.25 |
      | may have run | resumable  | REFUSE | 429    | REFUSE 502     |

    Examples: what has not run may be promised
      | known        | kind       | ending | status | sent            |
      | has not run  | once       | REFUSE | 503    | REFUSE 503 0.25 |
      | has not run  | once       | RELAY  | 503    | RELAY 503 0.25  |
      | has not run  | once       | RELAY  | 429    | RELAY 429 0.25  |
      | has not run  | stream     | REFUSE | 503    | REFUSE 503 0.25 |
      | has not run  | repeatable | REFUSE | 503    | REFUSE 503 0.25 |
