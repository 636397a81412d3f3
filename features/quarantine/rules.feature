Feature: when a request is refused since servers ended under it

  docs/QUARANTINE.md says why each rule is as it is.

  Scenario Outline: ends of servers under a request: <what>
    When a VM loses servers under a request: "<lost>"
    Then it counts <ends> ends and <state> the request

    Examples: each is SERVER:SENT-LOST in seconds, + certain, ? not, ok a good run
      | what                                   | lost                             | ends | state   |
      | none                                   |                                  | 0    | sends   |
      | two, one after the other               | a:0-1+ b:1-2+                    | 2    | sends   |
      | three, one after the other             | a:0-1+ b:1-2+ c:2-3+             | 3    | refuses |
      | one server three times                 | a:0-1+ a:1-2+ a:2-3+             | 1    | sends   |
      | three at one time, as a domain ends    | a:0-3+ b:1-3+ c:2-3.05+          | 1    | sends   |
      | two at one time, and two after         | a:0-1+ b:0-1+ c:1-2+ d:2-3+      | 3    | refuses |
      | a message's way between them           | a:0-1+ b:0.95-2+ c:1.95-3+       | 3    | refuses |
      | connections lost, no server ended      | a:0-1? b:1-2? c:2-3?             | 0    | sends   |
      | one of the three only a lost link      | a:0-1+ b:1-2+ c:2-3?             | 2    | sends   |
      | it ran well between them               | a:0-1+ b:1-2+ ok:2.5 c:2.5-3+    | 1    | sends   |
      | it ran well after them                 | a:0-1+ b:1-2+ c:2-3+ ok:4        | 0    | sends   |
      | a run that began before and ended well | a:0-1+ b:1-2+ c:2-3+ ok:3.5      | 0    | sends   |

  Scenario Outline: a copy that was lost is <state> again after <what>
    When a VM loses servers under a request: "<lost>"
    Then the copy that was lost at "<own>" is <state> again

    Examples: stricter than for a new copy, since it would be sent at once
      | what                          | lost                          | own   | state    |
      | one end                       | a:0-1?                        | a     | sent     |
      | two ends of its own           | a:0-1+ b:1-2?                 | a b   | sent     |
      | one, and one of another copy  | a:0-1+ b:1-2?                 | b     | not sent |
      | three, the last not certain   | a:0-1+ b:1-2+ c:2-3?          | a b c | not sent |
      | three at one time             | a:0-3+ b:1-3+ c:2-3?          | a b c | not sent |
      | a good run between            | a:0-1+ ok:1.5 c:1.5-3?        | c     | sent     |
      | a good run before any         | ok:0 a:0-1+ b:1-2+ c:2-3?     | c     | sent     |

  Scenario Outline: a request that ran well before is refused after <ends> ends
    When a VM loses <ends> servers under a request that ran well before, one a second
    Then after them the request is <state>

    Examples: harmless ones that are often sent are in flight at many ends
      | ends | state   |
      | 3    | sent    |
      | 7    | sent    |
      | 8    | refused |

  Scenario: what one VM knows of good runs counts for all
    When 20 VMs each meet a harmless request in turn which one of them saw run well
    Then no VM refuses it after 1.0 s

  Scenario Outline: after <ends> ends a request is refused for <rest> s
    When a VM loses <ends> servers under a request, one a second
    Then the request is refused for <rest> s, and one copy of three is sent after that

    Examples:
      | ends | rest |
      | 3    | 60   |
      | 4    | 120  |
      | 5    | 240  |
      | 8    | 1920 |
      | 20   | 1920 |

  Scenario: a copy on trial that runs well clears the request, one that does not prolongs
    When a VM loses 3 servers under a request, one a second
    Then a copy on trial that ends a server prolongs the time to 120 s
    And a copy on trial that runs well clears the request
    And lines tell "quarantined quarantine_trial quarantine_trial quarantine_cleared"

  Scenario Outline: what <who> know of a request when <lost> of 10 datagrams get lost
    When 20 VMs each meet a harmful request in turn while <lost> of 10 datagrams get lost
    Then every VM refuses it within <seconds> s

    Examples: within 3 s
      | who     | lost | seconds |
      | all VMs | 0    | 0.2     |
      | all VMs | 3    | 3.0     |
      | all VMs | 6    | 3.0     |

  Scenario Outline: a VM that <what> refuses the request within <seconds> s
    When 20 VMs refuse a request and one that <what> hears of them
    Then every VM refuses it within <seconds> s

    Examples:
      | what                    | seconds |
      | has just started        | 3.0     |
      | was cut off             | 3.0     |

  Scenario: a good run at one VM clears the request at all, also at one that was cut off
    When 20 VMs refuse a request and one of them sees it run well
    Then no VM refuses it after 3.0 s
    And a VM that was cut off meanwhile does not bring it back

  # One process refused a harmless prompt to the end of a run. Supposed: it had been stopped,
  # read of ends late, and missed the good run that followed, so that by its clock the ends
  # were newer. Ends are cleared by name since.
  Scenario: a VM that was stopped and missed a good run hears of it from the others
    When 20 VMs refuse a request, one sees it run well, and a stopped one reads of it 3 s late
    Then every VM sends it after 3.0 s

  Scenario: a caller who makes each body new and ends a server with each fills no memory
    When a VM loses a server under each of 10000 requests
    Then it keeps 2048 of them, and those that are refused longest

  Scenario: VMs of before take what is told, and what they tell is taken
    Then a message without suspects is read as one that refuses none
    And a message with suspects is read by a VM that does not know them

  Scenario Outline: <vms> VMs, <lost> of 10 datagrams lost: servers that a request ends
    When a harmful request comes 3 times a second to <vms> VMs that lose <lost> of 10 datagrams
    Then with seeds 1 to 3 it ends <ends> servers at most, and 3 copies at most come late
    And every VM that may refuse it does

    Examples: on the model of many VMs
      | vms | lost | ends |
      | 8   | 0    | 5    |
      | 87  | 0    | 5    |
      | 195 | 0    | 5    |
      | 360 | 0    | 5    |
      | 195 | 3    | 5    |

  Scenario: VMs that do not tell each other let a request end one server after the other
    When a harmful request comes to 87 VMs that tell each other nothing
    Then with seeds 1 to 3 it ends 20 servers or more
