Feature: what the servers of a service can hold

  Scenario Outline: the limit of a server: entry <entry>, setting <setting>, report <report>
    Then a server with "<entry>" slots by its entry, "<setting>" by the service and "<report>" by its report may hold <limit> requests

    Examples: the queue margin is a quarter of the slots, at least 1
      | entry  | setting | report | limit |
      | 24     | 0       | none   | 30    |
      | 24     | 8       | 16     | 30    |
      | 0      | 8       | 16     | 10    |
      | 0      | 0       | 16     | 20    |
      | 2      | 0       | none   | 3     |
      | 6      | 0       | none   | 7.5   |
      | 0      | 0       | none   | 8     |
      | -3     | 8       | none   | 10    |
      | 100001 | 8       | none   | 10    |
      | 0      | -1      | 16     | 20    |
      | 0      | 0       | -5     | 8     |
      | 0      | 0       | 100001 | 8     |

  Scenario Outline: cache memory of <cache> tokens and requests of <tokens>
    Then a server with 24 slots, <cache> cache tokens and requests of "<tokens>" tokens may hold <limit> requests

    Examples:
      | cache  | tokens    | limit |
      | 437820 | none      | 30    |
      | 437820 | 1000      | 30    |
      | 240000 | 20000     | 15    |
      | 240000 | 480000    | 2     |
      | 0      | 20000     | 30    |
      | -1     | 20000     | 30    |
      | 240000 | 0 20000   | 15    |
      | 240000 | -7 20000  | 15    |

  Scenario: the mean tokens follow the requests
    Then after 200 requests of 10000 tokens the mean of a service that began with 20000 is 10000

  Scenario Outline: a server that is <state>
    Then with one of 4 servers "<state>" that holds <load> of 24 slots the service may hold <limit> requests and holds <held>

    Examples: the other three hold 10 each; a closed server does not count
      | state        | load | limit | held |
      | healthy      | 10   | 120   | 40   |
      | ejected      | 10   | 100   | 40   |
      | unresponsive | 10   | 100   | 40   |
      | leaving      | 10   | 90    | 30   |
      | cold         | 10   | 102.5 | 40   |
      | restarted    | 0    | 120   | 30   |

  Scenario Outline: a limit of <limit> is set for a service of 4 servers
    Then a service with the limit <limit>, <slots> slots by entry and <ejected> ejected servers that hold nothing may hold <found> requests from the source "<source>"

    Examples:
      | limit | slots | ejected | found | source   |
      | 40    | 24    | 0       | 40    | setting  |
      | 40    | 24    | 1       | 30    | setting  |
      | 500   | 24    | 0       | 500   | setting  |
      | 40    | 0     | 0       | 40    | setting  |
      | 0     | 24    | 0       | 120   | requests |
      | 0     | 0     | 0       | 32    | learned  |

  Scenario Outline: a rank with <urgent> more urgent ranks in use
    Then with <servers> servers of <slots> slots a rank with <urgent> more urgent ones leaves <reserve> requests free

    Examples: 8 % of the slots for each, at least half a request; never the slots themselves
      | servers | slots | urgent | reserve |
      | 45      | 24    | 0      | 0       |
      | 45      | 24    | 1      | 86.4    |
      | 45      | 24    | 2      | 172.8   |
      | 45      | 24    | 3      | 259.2   |
      | 45      | 24    | 4      | 270     |
      | 45      | 24    | 9      | 270     |
      | 4       | 6     | 1      | 2       |
      | 4       | 6     | 9      | 6       |

  Scenario: bad numbers are logged at most once a second for each kind
    Then slots and tokens that are out of range for 3 s leave 3 lines of each kind

  Scenario Outline: settings of a service in ramppin's format: <fields>
    Then the service settings "<fields>" give "<found>"

    Examples:
      | fields                                      | found                            |
      | {}                                          | slots 0, tokens 0, limit 0       |
      | {"slots": 24, "cache_tokens": 437820}       | slots 24, tokens 437820, limit 0 |
      | {"limit": 1}                                | slots 0, tokens 0, limit 1       |
      | {"limit": 0}                                | refused: `int` >= 1              |
      | {"limit": -2}                               | refused: `int` >= 1              |
      | {"limit": "many"}                           | refused: Expected `int           |
      | {"slots": -1}                               | slots -1, tokens 0, limit 0      |

  Scenario Outline: settings of a service on the platform: <fields>
    Then the platform's service settings "<fields>" give "<found>"

    Examples:
      | fields                                                     | found                            |
      | {}                                                         | slots 0, tokens 0, limit 0       |
      | {"engine": {"capacity": 24, "kv_capacity_tokens": 437820}} | slots 24, tokens 437820, limit 0 |

  Scenario Outline: a limit that is learned: <outcomes>
    Then a limit of <initial> becomes <limit> after "<outcomes>"

    Examples: a good answer takes 0.1 s; each outcome is 0.3 s after the last
      | initial | outcomes            | limit |
      | 8       | none                | 8     |
      | 8       | 8 needed            | 9     |
      | 8       | 8 unneeded          | 8     |
      | 10      | 1 rejected          | 8     |
      | 10      | 2 rejected          | 6.4   |
      | 10      | 5 rejected at once  | 8     |
      | 1       | 5 rejected          | 1     |
      | 10      | 5 needed, 3 slow    | 6.77  |

  Scenario Outline: rank <position> of <ranks> at servers with <cache> cache tokens
    Then with 45 servers of 24 slots and <cache> cache tokens rank <position> of <ranks> in use leaves <reserve> requests free

    Examples: servers that order their queues by priority: 0.75 of the slots beyond the limit for the most urgent rank, none for the least urgent one or one alone
      | cache  | position | ranks | reserve |
      | 437820 | 0        | 3     | -810    |
      | 437820 | 1        | 3     | -405    |
      | 437820 | 2        | 3     | 0       |
      | 437820 | 0        | 2     | -810    |
      | 437820 | 0        | 1     | 0       |
      | 0      | 0        | 3     | 0       |
      | 0      | 2        | 3     | 172.8   |

  Scenario: the learned limit of a service whose servers are all closed
    Then rejections while all 4 servers are leaving do not set the limit for their return
