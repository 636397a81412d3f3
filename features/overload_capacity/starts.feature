Feature: which requests this VM may start

  Scenario Outline: a service that holds <held> of 24 slots
    Then a service whose reporting servers hold <held> of 24 slots is "<state>"

    Examples: busy from 0.75 of the slots on
      | held | state |
      | 0    | free  |
      | 17   | free  |
      | 18   | busy  |
      | 30   | busy  |

  Scenario: a service without servers, or an unknown one, holds no request back
    Then requests to a service without servers may start

  Scenario Outline: <rank> where ranks <waiting> wait, held <held> of a limit of 120
    Then with <held> of 120 held by 4 servers and ranks "<waiting>" waiting in the fleet a request of rank <rank> "<may>" start

    Examples: ranks 0 and 2 are in use; rank 2 leaves 8 % of 96 slots free
      | held | waiting | rank | may     |
      | 119  | none    | 0    | may     |
      | 120  | none    | 0    | may not |
      | 130  | none    | 0    | may not |
      | 119  | none    | 2    | may not |
      | 112  | none    | 2    | may     |
      | 110  | 0:5     | 2    | may     |
      | 110  | 0:12    | 2    | may not |
      | 110  | 0:12    | 0    | may     |
      | 110  | 3:50    | 2    | may     |

  Scenario Outline: starts at once with a share of <share> requests
    Then with <free> requests free, <own> own and <others> other waiting ones <count> start at once

    Examples: the bucket begins with one token and is filled within a report delay
      | free | own | others | share | count |
      | 20   | 10  | 10     | 10    | 1     |
      | 1    | 1   | 70     | 0     | 1     |
      | 0    | 10  | 10     | 0     | 0     |

  Scenario Outline: starts of <own> waiting requests in the <seconds> s after that
    Then with <free> requests free, <own> own and <others> other waiting ones <count> start within <seconds> s

    Examples: the rate is the share each 0.25 s, at least the share of the throughput, 120 a second
      | free | own | others | seconds | count |
      | 20   | 50  | 50     | 0.1     | 7     |
      | 20   | 50  | 50     | 0.25    | 16    |
      | 1    | 50  | 50     | 0.1     | 7     |
      | 1    | 5   | 95     | 0.5     | 4     |
      | -1   | 50  | 50     | 1       | 0     |

  Scenario Outline: after a start with <reported> of <servers> servers reported
    Then with <reported> of <servers> servers reported, <known> known VMs and <in_flight> in flight a request "<may>" start

    Examples: until three servers have reported, the limit is shared by the known VMs
      | reported | servers | known | in_flight | may     |
      | 0        | 45      | 72    | 17        | may     |
      | 0        | 45      | 72    | 18        | may not |
      | 2        | 45      | 72    | 18        | may not |
      | 3        | 45      | 72    | 18        | may     |
      | 0        | 4       | 360   | 0         | may     |
      | 0        | 4       | 360   | 1         | may not |
      | 1        | 2       | 72    | 1         | may not |
      | 2        | 2       | 72    | 1         | may     |
      | 0        | 45      | 0     | 0         | may     |
      | 0        | 45      | 0     | 1         | may not |

  Scenario Outline: a service that reports no load, 3 s after the start
    Then without load reports, <own> own in flight and <others> of others of a limit of 120 a request "<may>" start

    Examples: the cap is this VM's part of the fleet's demand, a tenth of which waits
      | own | others | may     |
      | 1   | 0      | may     |
      | 11  | 108    | may     |
      | 12  | 108    | may not |
      | 24  | 480    | may not |

  Scenario Outline: a service that reports no load, of which others run <running> and <waiting> wait
    Then without load reports, <running> running and <waiting> waiting requests of others make 96 slots "<state>"

    Examples: requests that wait may start before the next message
      | running | waiting | state |
      | 71      | 0       | free  |
      | 72      | 0       | busy  |
      | 10      | 0       | free  |
      | 10      | 100     | busy  |

  Scenario Outline: the expected start rate of rank <rank>
    Then with <held> of 120 held, ranks "<own>" own and "<others>" other waiting requests rank <rank> expects <rate> starts a second

    Examples: requests stay 1 s
      | held | own     | others | rank | rate |
      | 120  | 0:1     | none   | 0    | 120  |
      | 120  | 0:1     | 0:3    | 0    | 30   |
      | 120  | 0:1 2:1 | 0:6    | 2    | 30   |
      | 120  | 0:1 2:1 | 0:6    | 0    | 17.1 |
      | 80   | 0:1     | 0:1    | 0    | 80   |

  Scenario: what is described
    Then the description of a busy service has its limit, held, free, share, source and age

  Scenario Outline: rank <rank> beyond the limit, ranks <used> in use, <waiting> waiting
    Then at servers that order their queues by priority, with <held> of 120 held, ranks "<used>" in use and "<waiting>" waiting, a request of rank <rank> "<may>" start

    Examples: the room of rank 0 is 72 of 96 slots, that of rank 1 of three ranks 36
      | held | used        | waiting | rank | may     |
      | 191  | 0:1 1:1 2:1 | none    | 0    | may     |
      | 192  | 0:1 1:1 2:1 | none    | 0    | may not |
      | 155  | 0:1 1:1 2:1 | none    | 1    | may     |
      | 156  | 0:1 1:1 2:1 | none    | 1    | may not |
      | 119  | 0:1 1:1 2:1 | none    | 2    | may     |
      | 120  | 0:1 1:1 2:1 | none    | 2    | may not |
      | 119  | 0:1         | none    | 0    | may     |
      | 120  | 0:1         | none    | 0    | may not |
      | 140  | 0:1 1:1 2:1 | 0:5     | 1    | may     |
      | 140  | 0:1 1:1 2:1 | 0:20    | 1    | may not |
      | 140  | 0:1 1:1 2:1 | 2:20    | 1    | may     |

  Scenario Outline: the server of a request of rank <rank> where servers hold <loads>, <cache> cache tokens
    Then with servers that hold "<loads>" and <cache> cache tokens a request of rank <rank> goes to "<server>"

    Examples: a server may hold 30, with a queue by priority 48 for rank 0; s1 is chosen last otherwise
      | loads       | cache  | rank | server      |
      | 30 29 30 30 | 0      | 0    | s1          |
      | 30 29 30 30 | 0      | 2    | s1          |
      | 30 29 30 30 | 437820 | 2    | s1          |
      | 48 47 48 48 | 437820 | 0    | s1          |
      | 20 20 20 20 | 0      | 0    | s0 s2 s3    |
      | 30 29 30 30 | 437820 | 0    | s0 s2 s3    |
      | 30 30 30 30 | 0      | 0    | s0 s2 s3    |

  Scenario Outline: how often a service that holds <held> of 120 is measured
    Then a service that holds <held> of 120 is measured <count> times for 10 requests in 1 s

    Examples: below half of the limit at most every 0.5 s, after the first reports
      | held | count |
      | 0    | 3     |
      | 59   | 3     |
      | 61   | 10    |

  Scenario Outline: a service that was measured 0.1 s ago at 40 of 120, then <event>
    Then a service that holds 40 of 120 is "<state>" 0.1 s after its last measurement when "<event>"

    Examples: load reports and own starts count before the next measurement
      | event                    | state |
      | nothing happens          | free  |
      | servers report 72        | busy  |
      | 33 requests start        | busy  |
      | 20 requests start        | free  |
