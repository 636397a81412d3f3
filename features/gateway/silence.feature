Feature: connections that go silent are given up

  Scenario Outline: the kernel looks after each connection: <which>
    Given a gateway before two plain servers
    When a request is answered while its connections stay open
    Then the connection <which> ends after <unacknowledged> ms without acknowledgement
    And the connection <which> is probed after <idle> s, each <probe> s, <probes> times

    Examples:
      | which          | unacknowledged | idle | probe | probes |
      | to a server    | 1000           | 2    | 1     | 2      |
      | from a caller  | 10000          | 10   | 5     | 3      |

  Scenario: what rested beside a silent connection is closed with it
    Given a gateway before two plain servers
    When a request's connection to a server goes silent while others rest beside it
    Then no connection to that server rests, and those to the other do

  Scenario: no decision depends on the time of day
    Then the gateway reads the time of day for its lines alone
