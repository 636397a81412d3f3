Feature: no error vanishes: each leaves a line with its reason

  Scenario Outline: what a caller or a server sends wrong is logged: <what>
    Given a gateway before two plain servers
    When a request is sent with <what>
    Then it is answered 200
    And the process's own log shows "<line>"

    Examples:
      | what                              | line                                           |
      | a deadline that is not a number   | deadline is not a number, the route's          |
      | a load report that is not numbers | load report is not RUNNING,WAITING             |
      | a load report of one number       | load report is not RUNNING,WAITING             |

  Scenario Outline: datagrams that are not hints are logged: <what>
    Given a gateway before two plain servers
    When the datagram "<what>" reaches the gateway
    Then the process's own log shows "malformed datagram dropped"

    Examples:
      | what    |
      | noise   |
      | a       |

  Scenario: a background task that fails is logged
    Given a gateway before two plain servers
    When the reader of the servers fails
    Then the process's own log shows "a background task failed"

  Scenario: decision lines that can't be written are counted
    Given a decision log whose reader is gone
    When 50 decision lines are written
    Then the process's own log shows "50 decision lines could not be written"
    And the next second counts 50 dropped lines

  Scenario: a slow reader gets whole lines, and how many are missing
    Given a decision log whose reader does not read
    When 4000 decision lines are written
    Then the reader gets whole lines, and with those dropped they are 4000

  Scenario Outline: lines of one kind are limited: <lines> in <seconds> s
    Then of <lines> lines of one kind, spread over <seconds> s, <written> are written and <suppressed> counted as suppressed

    Examples:
      | lines | seconds | written | suppressed |
      | 20    | 0       | 20      | 0          |
      | 100   | 0       | 20      | 0          |
      | 100   | 20      | 40      | 30         |
      | 30    | 300     | 30      | 0          |

  Scenario: lines of different kinds do not limit each other
    Then of 30 kinds of line each is written once
