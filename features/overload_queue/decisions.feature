Feature: which request is next, which makes way, and which is refused

  The rules of docs/OVERLOAD.md, parts B and C, one by one, against a fake limiter.

  Scenario Outline: order of starts: <what>
    When requests wait: "<waiting>"
    Then after 1.0 s they start in the order "<order>"

    Examples: each is NAME:RANK/CUSTOMER/TARGET/END in seconds, r returned, *work, ~weight
      | what                             | waiting                                                 | order   |
      | the most urgent rank first       | x:2/a/5/9 y:0/a/5/9 z:1/a/5/9                           | y z x   |
      | rank before the end              | x:2/a/5/7 y:1/a/5/9                                     | y x     |
      | on time before late              | x:1/a/0.5/8 y:1/a/5/9                                   | y x     |
      | late by the usual wait           | x:1/a/1.05/8 y:1/a/5/9                                  | y x     |
      | without a target: on time        | x:1/a/0.5/7 y:1/a/-/9                                   | y x     |
      | returned: not behind             | x:1/a/0.5/8/r y:1/a/5/9                                 | x y     |
      | rank before lateness             | x:0/a/0.5/9 y:1/a/5/9                                   | x y     |
      | fairness before lateness         | p:1/a/5/9 q:1/a/5/9.1 s:1/b/0.5/8                       | p s q   |
      | customers alternate              | p:1/a/5/6 q:1/a/5/7 r:1/a/5/8 s:1/b/5/9                 | p s q r |
      | a rank's use is its own          | n:0/b/5/9 p:1/a/5/8 q:1/a/5/8.5 s:1/b/5/7               | n s p q |
      | by weight                        | p:1/a/5/6~2 q:1/a/5/7~2 r:1/a/5/8~2 s:1/b/5/9 t:1/b/5/9.5 | p s q r t |
      | by work                          | p:1/a/5/6*9 q:1/a/5/7 s:1/b/5/8 t:1/b/5/9               | p s t q |
      | the earliest end among equals    | x:1/a/5/9 y:1/a/5/7 z:1/a/5/8                           | y z x   |

  Scenario: without fair shares the earliest end is next, whoever sends
    Given overload control without "fair_shares"
    When requests wait: "p:1/a/5/6 q:1/a/5/7 r:1/a/5/8 s:1/b/5/9"
    Then after 1.0 s they start in the order "p q r s"

  Scenario Outline: a customer that was idle: <what>
    When customer "a" has had 20 starts of work 1 and <pause> s have passed
    And requests wait at once: "<waiting>"
    Then they start at once in the order "<order>"

    Examples: it starts at the lowest counter of those that wait, and use decays
      | what                             | pause | waiting                                             | order       |
      | no precedence for time idle      | 0     | p:1/a/5/6 q:1/a/5/7 s:1/b/5/8 t:1/b/5/8.5 u:1/b/5/9 | p s q t u   |
      | no precedence for being first    | 60    | s:1/b/5/8 t:1/b/5/8.5 u:1/b/5/9 p:1/a/5/6 q:1/a/5/7 | s p t q u   |
      | a customer that alone had starts | 0     | s:1/b/5/8 t:1/b/5/8.5 p:1/a/5/6                     | s t p       |

  Scenario Outline: a full queue of <size>: <what>
    Given an admission queue for <size> requests and 4000 bytes
    When requests wait: "<waiting>"
    And a newcomer asks: "<newcomer>"
    Then "<displaced>" are displaced and the newcomer <state>

    Examples: each newcomer n, with the notation of above, # bytes, @ service
      | what                            | size | waiting                                     | newcomer       | displaced | state      |
      | there is space                  | 4    | p:2/a/5/6 q:2/a/5/7 r:2/a/5/8               | n:2/a/5/9      |           | waits      |
      | less urgent: the last one       | 3    | p:1/a/5/6 q:2/a/5/9 r:2/a/5/8               | n:0/a/5/9      | q         | waits      |
      | less urgent: a late one first   | 3    | p:1/a/5/6 q:2/a/5/9 r:2/a/0.05/8            | n:0/a/5/9      | r         | waits      |
      | the least urgent rank           | 3    | p:3/a/5/6 q:2/a/5/9 r:1/a/5/8               | n:0/a/5/9      | p         | waits      |
      | none that is more urgent        | 3    | p:0/a/5/6 q:0/a/5/9 r:0/a/5/8               | n:1/b/5/9      |           | is refused |
      | equal: of who has the most use  | 3    | p:1/a/5/6 q:1/a/5/7 r:1/b/5/9               | n:1/c/5/9      | q         | waits      |
      | equal: use is work by weight    | 3    | p:1/a/5/6~9 q:1/a/5/7~9 r:1/b/5/9           | n:1/c/5/8~9    | r         | waits      |
      | equal: the newcomer has most    | 3    | p:1/a/5/6 q:1/b/5/7 r:1/c/5/8               | n:1/a/5/9      |           | is refused |
      | equal: a newcomer that ends soon | 3   | p:1/a/5/6 q:1/a/5/7 r:1/c/5/8               | n:1/a/5/5      | q         | waits      |
      | of other services               | 3    | p:1/a/5/6@x q:1/a/5/7@x r:1/a/5/8@x         | n:1/b/5/9@y    | r         | waits      |
      | bytes: two make way             | 9    | p:2/a/5/6#1800 q:2/a/5/7#1800               | n:1/a/5/9#3000 | q p       | waits      |
      | bytes: larger than the queue    | 9    | p:2/a/5/6#1800 q:2/a/5/7#1800               | n:1/a/5/9#4001 |           | is refused |
      | bytes: it would not fit         | 9    | p:2/a/5/6#500 q:0/a/5/7#3500                | n:1/a/5/9#1000 |           | is refused |

  Scenario: a newcomer that may start at once displaces nothing from a full queue
    Given an admission queue for 2 requests and 4000 bytes
    When requests wait: "p:2/a/5/6@x q:2/a/5/7@x"
    And 1 may start at once
    And a newcomer asks: "n:0/a/5/9@y"
    Then on arrival it starts
    And "" are displaced and 2 wait

  Scenario Outline: on arrival: <what>
    Given starts at a rate of <rate> per second and a queue of <ahead> requests
    When a request arrives with <patience> s of patience and <left> s until its end
    Then on arrival it <state>

    Examples: the usual wait for a first byte is 0.1 s
      | what                                 | rate | ahead | patience | left | state               |
      | it can start in time                 | 10   | 8     | 1.0      | 10   | waits               |
      | its caller disconnects before        | 10   | 10    | 1.0      | 10   | is refused as too late |
      | its time ends before                 | 10   | 10    | 5.0      | 1.0  | is refused as too late |
      | the wait for a first byte is counted | 10   | 19    | 1.95     | 10   | is refused as too late |
      | nothing starts                       | 0    | 1     | 5.0      | 10   | is refused as too late |
      | first, with time left                | 10   | 0     | 0.2      | 10   | waits               |
      | first, and too late                  | 10   | 0     | 0.05     | 10   | is refused as too late |

  Scenario Outline: a request that may start at once is not refused by a forecast: <what>
    Given starts at a rate of 0.2 per second and a queue of 0 requests
    And 1 may start at once
    When a request arrives with <patience> s of patience and a target of <target> s
    Then on arrival it <state>

    Examples: a late request is forecast to wait for the next start, in 5 s
      | what                        | patience | target | state               |
      | late for its target already | 2.0      | 0.05   | starts              |
      | on time                     | 2.0      | 1.0    | starts              |
      | too late for its caller     | 0.05     | 0.01   | is refused as too late |

  # A forecast that was too long refused urgent requests whose VM then started less
  # urgent ones. Rank 1 arrives; starts are forecast in 5 s and more.
  Scenario Outline: no forecast refuses a request while a less urgent one waits: rank <rank>
    Given starts at a rate of 0.2 per second and a queue of 1 requests
    And a request of rank <rank> that waits
    When a request arrives with 2.0 s of patience and a target of 1.0 s
    Then on arrival it <state>

    Examples: rank of the request that waits
      | rank | state                  |
      | 2    | waits                  |
      | 9    | waits                  |
      | 1    | is refused as too late |
      | 0    | is refused as too late |

  Scenario: a request that may start at once does not overtake those that wait
    Given starts at a rate of 0.2 per second and a queue of 1 requests
    And 1 may start at once
    When a request arrives with 2.0 s of patience and a target of 1.0 s
    Then on arrival it is refused as too late

  Scenario: being late for the target alone is no reason for a refusal
    Given starts at a rate of 10 per second and a queue of 8 requests
    When a request arrives with 3 s of patience and a target of 0.2 s
    Then on arrival it waits

  Scenario Outline: nothing is refused while a service is not busy: <what>
    Given a service that is not busy and where nothing waits
    When a request arrives with <patience> s of patience and <left> s until its end
    Then on arrival it starts

    Examples:
      | what             | patience | left |
      | enough time      | 2        | 10   |
      | too late already | 0.01     | 0.01 |

  Scenario Outline: a waiting request whose forecast becomes <forecast> s
    Given starts at a rate of 10 per second and a queue of 10 requests
    When a request waits with 4.0 s of patience and the rate drops to <rate>
    Then after the next check it <state>

    Examples: the limit 4.0 s and half of the time left, 6.0 s
      | forecast | rate | state               |
      | 3.4      | 3    | waits               |
      | 5.1      | 2    | waits               |
      | 6.8      | 1.5  | is refused as too late |
      | 20.1     | 0.5  | is refused as too late |

  Scenario Outline: with "<part>" disabled
    Given overload control without "<part>"
    When 300 requests of customer "a" arrive at a service that starts nothing
    Then <started> start, <waiting> wait, <refused> are refused by "<rule>"

    Examples:
      | part            | started | waiting | refused | rule      |
      | nothing         | 0       | 20      | 280     | too_late  |
      | fair_shares     | 0       | 20      | 280     | too_late  |
      | early_rejection | 0       | 256     | 44      | room_full |
      | waiting_room    | 300     | 0       | 0       |           |
      | enabled         | 300     | 0       | 0       |           |

  Scenario: a request that skips the queue costs no object but the ticket
    Given a service that is not busy and where nothing waits
    When 1000 requests arrive at it
    Then each gets the same decision and the limiter is asked once and told once for it
    And no objects remain but their tickets

  Scenario: what waits can be shown, and when the queue must be looked at
    Given starts at a rate of 10 per second and a queue of 0 requests
    Then nothing waits and no check is due
    When requests wait: "x:2/a/5/9 y:0/a/5/9 z:0/b/5/9 w:0/b/5/9@other"
    Then 1.0 s later "chat" has "2 0 1" waiting by rank, a 2 and b 1, 3000 bytes, since 1.0 s
    And the limiter knows of "2 0 1" waiting at "chat" and "1" at "other"
    And a check is due within 0.1 s

  Scenario: a check that is due is not put off by requests that arrive
    Given starts at a rate of 10 per second and a queue of 1 requests
    When 50 requests arrive within 0.5 s
    Then a check was due at 0.05 s all the time

  Scenario: the queue is looked at when the first time limit passes
    Given overload control without "early_rejection"
    And starts at a rate of 0.1 per second and a queue of 0 requests
    When requests wait: "x:2/a/5/9 y:2/b/0.03/0.03"
    Then a check is due within 0.03 s
