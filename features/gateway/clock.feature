Feature: what is due during a suspension of the VM is done when it goes on

  A VM may be suspended for seconds. The steady clock does not count that time, so a process
  that read it went on as if nothing had happened: a request whose time was over waited on, a
  report of before looked new, and a lease that another VM held by then still seemed its own.

  Scenario Outline: a request whose time is over after <seconds> s of suspension
    Given a gateway whose VM can be suspended, before a server that answers nothing
    When a request with 10 s is sent and the VM is suspended for <seconds> s
    Then its caller <gets>

    Examples:
      | seconds | gets                 |
      | 0.5     | still waits          |
      | 3       | still waits          |
      | 30      | gets 504 within 0.5 s |

  Scenario Outline: what a VM knows after <seconds> s of suspension
    Given a gateway whose VM can be suspended, before a server that answers at once
    When a request is answered and the VM is suspended for <seconds> s
    Then the age of the server's load report is <seconds> s at least
    And the connection that rested is used again: <used>
    And a line tells that the process stalled for <seconds> s at least

    Examples:
      | seconds | used |
      | 0.5     | yes  |
      | 3       | yes  |
      | 30      | no   |

  # What lies unread when a process goes on says more than its timers do: connections that
  # came up meanwhile counted as unreachable servers, and VMs whose heartbeats were not read
  # yet as gone, so that the one that woke took all of the fleet's retries for its own.
  Scenario Outline: a connection that does not come up while the VM is <state>
    Given a gateway whose VM can be suspended, before a server that takes no connection
    When a request is sent there and the VM is <state>
    Then the server is <judged>

    Examples:
      | state             | judged      |
      | running           | ejected     |
      | suspended for 3 s | not ejected |

  Scenario Outline: other VMs after <seconds> s of suspension
    When a VM that knows 5 live ones, and 1 that is gone, is suspended for <seconds> s
    Then it counts 5 as live when it goes on
    And it counts 0 as live 20 s later if it hears of none

    Examples:
      | seconds |
      | 0.5     |
      | 3       |
      | 30      |

  Scenario: every program reads the clock that counts suspensions
    Then the clock of a process is the system's clock since boot
    And these take it where none is given: "RouterParts Router RepeatLimit"

  Scenario Outline: a lease of <ttl> s after <seconds> s of suspension
    When a router's lease of <ttl> s is renewed and its VM is suspended for <seconds> s
    Then it <holds> the lease

    Examples:
      | ttl | seconds | holds         |
      | 1.5 | 0.5     | still holds   |
      | 1.5 | 3       | does not hold |
      | 1.5 | 30      | does not hold |
