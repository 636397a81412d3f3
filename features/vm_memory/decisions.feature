Feature: one memory budget for all that connections hold

  Scenario Outline: the budget of a process with <limit> MB
    Then a memory limit of <limit> MB gives a budget of <budget> MB

    Examples: two fifths less what the process needs, at least 16 MB
      | limit | budget |
      | 552   | 190.8  |
      | 200   | 50     |
      | 120   | 18     |
      | 100   | 16     |

  Scenario Outline: the budget is <state>: <memory>, <process>, <routing>
    Given a gateway with a memory limit "<memory>" whose configuration has overload control "<process>"
    And whose routing settings have overload control "<routing>"
    Then its memory budget is <state>

    Examples: without a limit or overload control connections behave as before
      | memory  | process  | routing  | state    |
      | unknown | enabled  | absent   | disabled |
      | 200 MB  | absent   | absent   | disabled |
      | 200 MB  | disabled | absent   | disabled |
      | 200 MB  | enabled  | absent   | enabled  |
      | 200 MB  | enabled  | disabled | enabled  |
      | 200 MB  | absent   | enabled  | enabled  |

  Scenario Outline: memory limit in settings: <format>, <value>
    Then the memory limit "<value>" in the settings of "<format>" counts as <bytes> bytes

    Examples: the platform writes 0 or nothing for no limit; ramppin's own format refuses 0
      | format   | value | bytes     |
      | platform | 200   | 200000000 |
      | platform | 0     | no        |
      | platform | -5    | no        |
      | platform | none  | no        |
      | own      | 200   | 200000000 |
      | own      | none  | no        |
      | own      | 0     | refused   |

  Scenario Outline: reading an answer: <what>
    Given a budget of 6400 kB, of which other connections hold "<others>"
    And a connection that holds <held> kB, <unread> kB of them unread, after <received> kB of an answer
    Then reading its answer goes on: <reads>
    And once paused it would be resumed: <resumes>

    Examples: fair by connection, and never short of 64 kB
      | what                                       | others  | held | unread | received | reads | resumes |
      | plenty of memory                           | none    | 200  | 200    | 200      | yes   | no      |
      | half of what it may hold                   | none    | 128  | 128    | 200      | yes   | yes     |
      | as much as any connection may hold         | none    | 257  | 257    | 300      | no    | no      |
      | more than an equal share                   | 70 x 70 | 100  | 100    | 200      | no    | no      |
      | less than an equal share                   | 70 x 70 | 80   | 80     | 200      | yes   | no      |
      | near the budget                            | 40 x 125| 100  | 100    | 200      | no    | no      |
      | near the budget, no more than all may hold | 40 x 126| 64   | 64     | 200      | yes   | no      |
      | near the budget, drained                   | 40 x 126| 32   | 32     | 200      | yes   | yes     |
      | over the budget, a small answer            | 60 x 120| 100  | 64     | 64       | yes   | no      |
      | over the budget, all of it read            | 60 x 120| 100  | 0      | 200      | yes   | yes     |

  Scenario Outline: a request body: <what>
    Given a budget of 6400 kB, of which other connections hold "<others>"
    Then a body of <size> kB is accepted: <accepted>

    Examples: over 64 kB only up to 0.9 of the budget, since the rest is for answers
      | what                     | others   | size | accepted |
      | plenty of memory         | none     | 4000 | yes      |
      | up to 0.9                | 10 x 476 | 1000 | yes      |
      | beyond 0.9               | 10 x 477 | 1000 | no       |
      | small, beyond the budget | 70 x 100 | 64   | yes      |
      | large, beyond the budget | 70 x 100 | 65   | no       |

  Scenario Outline: who is aborted at the budget: <what>
    Given a budget of 1000 kB
    And these readers, whose buffers filled <age> s ago: "<readers>"
    When the budget is enforced
    Then "<aborted>" are aborted

    Examples: PEER:HELD/READ, kB held and kB read since; small is an answer of 64 kB
      | what                                 | age | readers                                        | aborted |
      | within the budget                    | 5   | a=caller:500/0 b=caller:490/9                  | none    |
      | the slowest                          | 5   | a=caller:500/90 b=caller:500/9 c=caller:100/50 | b       |
      | the slowest first                    | 5   | a=caller:700/50 b=caller:700/5 c=caller:700/9  | b c     |
      | of equals the one that holds most    | 5   | a=caller:400/5 b=caller:500/5 c=caller:400/5   | b       |
      | a server that leaves a body unread   | 5   | a=caller:500/50 b=server:600/0                 | b       |
      | a caller slower than a server        | 5   | a=caller:500/0 b=server:600/50                 | a       |
      | never small answers                  | 5   | a=small:600/0 b=small:600/0                    | none    |
      | small answers beside a large one     | 5   | a=small:600/0 b=caller:300/90 c=small:300/0    | b       |
      | one that has read since it was seen  | 5   | a=drained:600/0 b=caller:450/5                 | none    |
      | slower than one that read since      | 5   | a=drained:600/0 b=caller:700/5 c=caller:400/1  | c       |

  Scenario: a buffer that was filled a moment ago is not that of the slowest reader
    Given a budget of 1000 kB
    And these readers, whose buffers filled 5 s ago: "a=caller:500/40"
    And these readers, whose buffers filled 0.01 s ago: "b=caller:600/0"
    When the budget is enforced
    Then "a" are aborted

  Scenario Outline: memory that a write buffer occupies: <sizes>
    Then a write buffer with the sizes "<sizes>" occupies <kb> kB

    Examples: a bytearray shrinks once less than half of it is used
      | sizes        | kb  |
      | 100          | 100 |
      | 100 60       | 100 |
      | 100 49       | 49  |
      | 100 60 200   | 200 |
      | 100 0        | 0   |

  Scenario: a sweep measures few connections, and all in turn
    Given a budget of 1000000 kB
    And 1000 readers
    When 4 sweeps are made
    Then no sweep measured more than 256 connections
    And each of the 1000 was measured

  Scenario Outline: 1,000 callers that read 1 kB a second, answers of <size> kB
    When for 8 s 1000 callers that read 1 kB a second get answers of <size> kB within <arrive> s beside 50 that read 500 kB a second
    Then no more than 50 MB and one piece were held at any time
    And no answer of up to 64 kB was paused or aborted
    And none of those that read 500 kB a second was aborted
    And at least <survivors> slow answers were not aborted

    Examples: a third have answers of 60 kB
      | size | arrive | survivors |
      | 200  | 1      | 550       |
      | 200  | 5      | 550       |
      | 1000 | 1      | 550       |
      | 1000 | 5      | 550       |
