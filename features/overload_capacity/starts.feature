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
