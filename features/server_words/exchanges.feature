Feature: what a server says of itself binds each way to it

  Background:
    Given a gateway before 3 servers of "plain" and 3 of "model"

  Scenario Outline: a server got requests after its answer <status> to "<path>" said that it leaves
    When the servers "<server>" say in an answer <status> to "<path>" that they leave
    Then of 20 requests to "<path>" none reaches "<server>", and all are served

    Examples:
      | status | path     | server |
      | 200    | /once/   | p1     |
      | 404    | /once/   | p1     |
      | 500    | /once/   | p1     |
      | 500    | /again/  | p1     |
      | 503    | /again/  | p1     |
      | 200    | /stream/ | m1     |
      | 200    | /resume/ | m1     |
      | 200    | /once/   | p1 p2  |

  Scenario: a server got requests while the stream still came whose head said that it leaves
    When the head of a stream of "m1" says that it leaves, and the stream goes on
    Then of 20 requests to "/stream/" none reaches "m1", and all are served

  Scenario: another server at its address does not make a server leave
    When the servers "p1" say in an answer 421 to "/again/" that they leave
    Then of 20 requests to "/again/" some reach "p1"

  Scenario Outline: a server that leaves got requests after <what>
    When the servers "p1" say in an answer 200 to "/once/" that they leave
    And the entry of "p1" <does>
    Then of 20 requests to "/once/" none reaches "p1", and all are served

    Examples:
      | what                                      | does                            |
      | its entry said ready                      | says ready once more            |
      | its entry vanished and came back the same | vanishes and comes back         |

  Scenario: a later start of a server that left gets requests at once
    When the servers "p1" say in an answer 200 to "/once/" that they leave
    And the entry of "p1" tells a later start
    Then of 20 requests to "/once/" some reach "p1"

  Scenario: callers were kept waiting when all servers leave
    When the servers "p1 p2 p3" say in an answer 200 to "/once/" that they leave
    Then a request to "/once/" is refused at once by the rule "leaving", to come back in 0.1 to 2 s

  Scenario: what a server that leaves has in memory is copied from it
    When the servers "m1" say in an answer 200 to "/stream/" that they leave
    Then the next prompt of the same prefix is copied from "m1"

  Scenario Outline: a server got requests in the rest that it asked for, by <status> <mark>
    When the servers "p1" ask for 1.0 s of rest by <status> <mark>
    Then of 20 requests to "/again/" none reaches "p1", and all are served
    And after the rest of 1.0 s some of 20 requests to "/again/" reach "p1"

    Examples:
      | status | mark       |
      | 503    | not run    |
      | 503    | unmarked   |
      | 429    | not run    |

  Scenario Outline: a server got requests in its rest after <what>
    When the servers "p1" ask for 5.0 s of rest by 503 not run
    And the entry of "p1" <does>
    Then of 20 requests to "/again/" none reaches "p1", and all are served

    Examples:
      | what                                      | does                            |
      | its entry said ready                      | says ready once more            |
      | its entry vanished and came back the same | vanishes and comes back         |

  Scenario: a later start of a server that asked for rest gets requests at once
    When the servers "p1" ask for 5.0 s of rest by 503 not run
    And the entry of "p1" tells a later start
    Then of 20 requests to "/again/" some reach "p1"

  Scenario: callers were sent to servers that all want rest
    When the servers "p1 p2 p3" ask for 2.0 s of rest by 503 not run
    Then a request to "/again/" is refused at once by the rule "resting", to come back in 1.5 to 3.5 s

  Scenario: a rest that can't be read closes no server
    When the servers "p1" ask for soon s of rest by 503 not run
    Then of 20 requests to "/again/" some reach "p1"

  Scenario Outline: a request went to a server that closed while it waited for a connection, by <word>
    When a request to "/again/" waits for a connection, and its server <word> meanwhile
    Then it is served by another server, and its own gets nothing

    Examples:
      | word                           |
      | says that it leaves            |
      | asks for rest                  |
      | says in its entry that it leaves |
      | vanishes                       |
      | stands in an emptied domain    |

  Scenario: a request that ends servers was sent on after a wait for a connection
    When a request to "/again/" waits for a connection, and three servers end under copies of it
    Then a server gets nothing, and it is refused by the rule "quarantined"

  Scenario Outline: servers that all want rest, known of <known>
    Given two other VMs were asked for 3 s of rest by "<known>"
    When a request to "/again/" is sent while "p1 p2 p3" turn all away
    Then it reached 3 servers and got 503 by the rule "resting", to come back in 2.5 to 4.6 s

    Examples:
      | known    |
      | none     |
      | p1 p2 p3 |

  Scenario: a caller was refused though a server was open, since it had turned others away
    Given 1 more servers of "plain", and "p4" is the last to be chosen
    And two other VMs were asked for 3 s of rest by "p1 p2 p3 p4"
    When a request to "/again/" is sent while "p1 p2 p3" turn all away
    Then it is served

  Scenario: a caller was told a server's time of rest, though another server is open
    When the servers "p1 p2 p3" answer 503 to "/again/", and that they want 30 s of rest
    Then its caller was told one time to come back, of 1 s at most

  Scenario: a caller whose request may have run once was told to come back
    When "p1" answers 503 to "/once/", and that it wants 30 s of rest
    Then its caller got 502 and was told no time to come back

  Scenario: operators see what closes a server, and a request why it went elsewhere
    When the servers "p1" say in an answer 200 to "/once/" that they leave
    And the servers "p2" ask for 30 s of rest by 503 not run
    And a request "why" is sent to "/once/"
    Then "why" names "leaving:p1 resting:p2" as closed, and so do "/dump" and "/metrics"

  Scenario: a caller was refused though a server was open, since four others turned it away
    Given 4 more servers of "plain", and "p7" is the last to be chosen
    When a request to "/again/" is sent while "p1 p2 p3 p4 p5 p6" turn all away
    Then it is served
