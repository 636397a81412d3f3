Feature: a VM tells a fault of its own path from a fault of servers

  Scenario Outline: <case>
    # f: failed, n: answers a new connection, o: an old one, k: a probe
    # p: another VM reached it now, q: 2 s ago
    When a VM before servers a1 a2 a3 b1 c1 observes "<events>"
    Then its path is <status>

    Examples:
      | case                                                       | events                         | status    |
      | one server fails                                           | f:a1 f:a1 f:a1                 | working   |
      | two servers fail                                           | f:a1 f:b1                      | working   |
      | three servers of two failure domains fail                  | f:a1 f:a2 f:b1                 | suspected |
      | a failure domain fails                                     | f:a1 f:a2 f:a3                 | working   |
      | three fail, and one of them answers another VM             | f:a1 f:a2 f:b1 p:b1            | lost      |
      | three fail, and one that did not fail answers another VM   | f:a1 f:a2 f:b1 p:c1            | suspected |
      | another VM reached it before it failed                     | p:b1 f:a1 f:a2 f:b1            | suspected |
      | it is told late that another VM reached one before         | f:a1 f:a2 f:b1 q:b1            | suspected |
      | a new connection is answered in between                    | f:a1 f:a2 n:c1 f:b1            | working   |
      | an open connection is answered in between                  | f:a1 f:a2 o:c1 f:b1            | suspected |
      | a new connection is answered after the path was lost       | f:a1 f:a2 f:b1 p:b1 n:c1       | working   |
      | one probe succeeds                                         | f:a1 f:a2 f:b1 k:a1            | suspected |
      | two probes succeed in a row                                | f:a1 f:a2 f:b1 k:a1 k:b1       | working   |
      | two probes succeed, not in a row                           | f:a1 f:a2 f:b1 k:a1 f:b1 k:a1  | suspected |
      | it is lost again soon, and two probes succeed              | f:a1 f:a2 f:b1 k:a1 k:b1 f:a1 f:a2 f:b1 k:a1 k:b1 | suspected |
      | it is lost again soon, and four probes succeed             | f:a1 f:a2 f:b1 k:a1 k:b1 f:a1 f:a2 f:b1 k:a1 k:b1 k:a1 k:b1 | working |

  Scenario Outline: probes send data or not: <case>
    # u: a new connection was lost before its answer, v: one opened long ago
    When a VM before servers a1 a2 a3 b1 c1 observes "<events>"
    Then its probes send data: <data>

    Examples:
      | case                                             | events              | data |
      | connections are refused                          | f:a1 f:a2 f:b1      | no   |
      | the first connection that is lost was open       | u:a1                | no   |
      | a connection opened after a failure is lost      | f:a1 u:a2           | yes  |
      | open connections are lost                        | f:a1 v:a2 v:b1      | no   |
      | one is lost, and another one is refused          | f:a1 u:a2 f:b1      | yes  |
      | one is lost, and another one answers             | f:a1 u:a2 n:b1      | no   |
      | one is lost, and probes succeed                  | f:a1 f:b1 u:a2 k:a1 k:b1 | no |

  Scenario: probes that send data do not keep a path lost for good
    When a VM before servers a1 a2 a3 b1 c1 observes "f:a1 f:a2 u:b1"
    And 31 s later it observes "f:a2"
    Then its path is suspected
    And its probes send data: no

  Scenario: failures of long ago do not add up
    When a VM before servers a1 a2 a3 b1 c1 observes "f:a1 f:a2"
    And 4 s later it observes "f:b1"
    Then its path is working

  Scenario: a server whose failures were the path's is used at once when the path is back
    When a VM before servers a1 a2 a3 b1 c1 observes "f:a1 f:a2 f:b1 k:a1 k:b1"
    Then none of its servers is suspect

  Scenario: servers out of reach were tried again each time that another one answered
    When a VM before servers a1 a2 a3 b1 c1 observes "f:a1 f:a2 f:b1 n:c1"
    Then its path is working
    And its server a1 is suspect

  Scenario: a server that failed alone stays ejected when others answer
    When a VM before servers a1 a2 a3 b1 c1 observes "f:a1 n:b1"
    Then its server a1 is suspect

  Scenario: another service is avoided too while it has no answer
    When a VM before servers a1 a2 a3 b1 c1 observes "f:a1 f:a2 f:b1 p:b1"
    Then it avoids the service "other" until a server of it answers

  Scenario: requests were refused after tries at VMs that avoided their service and did not say so
    # A VM said which services it had failed to reach, not which it avoids since another is lost.
    When a VM before servers a1 a2 a3 b1 c1 observes "f:a1 f:a2 f:b1 p:b1"
    Then it announces that it does not reach "model other"
    When 0 s later it observes "o:x1"
    Then it announces that it does not reach "model"

  Scenario: crashes, lost failure domains and slow servers are no fault of the path
    Then in 10000 random runs without a cut the path is never lost

  Scenario: a cut is known within a second of the first failure at one request a second
    Then in 200 random runs with a cut the path is avoided within 1 s
