Feature: what the admission queue is told about a request

  Scenario Outline: the rank of a customer of priority <customer> on a route of priority <route>
    Then a customer of priority <customer> has the rank <rank> on a route of priority <route>

    Examples:
      | customer | route | rank |
      | none     | 0     | 0    |
      | none     | 2     | 2    |
      | none     | 7     | 2    |
      | 0        | 1     | 1    |
      | 1        | 0     | 3    |
      | 2        | 2     | 8    |
      | 3        | 0     | 9    |
      | 3        | 2     | 9    |
      | 9        | 0     | 9    |
      | -1       | 0     | 0    |
      | 1        | -2    | 1    |

  Scenario Outline: the rank in the queue is the priority that a server gets
    Then a prompt of rank <rank> is sent with the priority <rank>

    Examples:
      | rank |
      | 0    |
      | 4    |
      | 9    |

  Scenario Outline: work of a prompt: <parts>, size <size>, hint <hint>, <cached>
    Then a prompt with the parts "<parts>", the size "<size>", the hint "<hint>" and a <cached> prefix has <tokens> tokens and the work <work>

    Examples:
      | parts              | size      | hint | cached | tokens | work  |
      | none               | none      | none | new    | 0      | 1     |
      | a:10240,b:1280     | 11520,500 | 384  | new    | 11904  | 429   |
      | a:10240,b:1280     | 11520,500 | 384  | cached | 1664   | 389   |
      | a:10240,b:1280     | 11520,500 | none | cached | 1780   | 505   |
      | none               | 2560,500  | 40   | new    | 2600   | 50    |
      | none               | none      | 40   | new    | 40     | 40    |
      | a:256              | none      | none | new    | 256    | 1     |
      | a:x,b:2            | 512,8     | 8    | new    | 520    | 10    |
      | none               | 512       | bad  | new    | 512    | 2     |
      | none               | none      | -4   | new    | 0      | 1     |
      | none               | none      | 99999999999 | new | 0  | 1     |

  Scenario Outline: when a caller without a first byte disconnects: <kind>, target <target>, pause <pause>
    Then a caller on a <kind> route with the target <target> and the pause <pause> waits <patience> s

    Examples:
      | kind   | target | pause | patience |
      | stream | 0.1    | none  | 2.0      |
      | stream | 1.545  | 0.4   | 6.18     |
      | stream | 0.419  | 0.4   | 3.2      |
      | stream | 0.419  | 0.3   | 2.4      |
      | stream | none   | 0.3   | inf      |
      | once   | 0.163  | none  | inf      |

  Scenario Outline: until when a <kind> request may start: <limit> s left, answers take <stay>
    Then a <kind> request with <limit> s left on a route whose answers take "<stay>" s may start within <latest> s

    Examples: a stream that starts later is cut off by its deadline
      | kind   | limit | stay    | latest |
      | stream | 9     | none    | 2      |
      | stream | 9     | 2 2     | 2      |
      | stream | 3     | none    | 2      |
      | stream | 3     | 2 2     | 1      |
      | stream | 3     | 4       | -1     |
      | once   | 3     | 2 2     | 3      |

  Scenario: the ticket holds what the settings and headers state
    Then the ticket of a prompt tells its rank, customer, weight, work, size and times

  Scenario Outline: the scheduler is called by events and one timer: <what>
    Then with <what> the scheduler is checked <checks> times

    Examples:
      | what                                             | checks |
      | nothing waiting, 0.2 s and 20 events             | 0      |
      | 1 waiting, 20 events in one iteration            | 1      |
      | 1 waiting, a check due after 0.05 s              | 1      |
      | 1 waiting that leaves, a check due after 0.05 s  | 0      |

  Scenario: newcomers do not postpone a check that is due before theirs
    Then with a check due after 0.2 s and a newcomer every 0.01 s the scheduler is checked

  Scenario: a check that stays due does not occupy the event loop
    Then with a check that stays due the scheduler is checked at most 40 times in 0.1 s

  Scenario Outline: which requests are described in full to the scheduler: <state>
    Then of 80 requests while the service is <state> and <waiting> wait <count> are described in full

    Examples:
      | state | waiting | count |
      | calm  | 0       | 10    |
      | calm  | 1       | 80    |
      | busy  | 0       | 80    |

  Scenario: work is counted for the 20 customers with the most, the others as other
    Then of 30 customers the 20 with the most work have a label, and no value decreases
