Feature: a planned stop cuts nothing

  Background:
    Given a gateway with short drain times before two plain servers

  Scenario: not ready at once, requests in flight end, the process ends
    Given backend servers that answer by "on demand"
    When a caller has a request in flight and the gateway begins a planned stop
    Then it is not ready
    And the request in flight is answered whole with a request to close
    And the gateway stops

  Scenario: a request that can't end in time is refused with when to come back
    Given backend servers that answer by "on demand"
    When a caller has a request in flight and the gateway began a planned stop long ago
    Then a new request to "/once/" is refused with when to come back
    And a new request to "/brief/" is taken

  Scenario: a connection that was just opened may send its request
    Given backend servers that answer by "on demand"
    When a caller has a request in flight and the gateway began a planned stop long ago
    Then a request on a connection opened 4 polls ago gets an answer

  Scenario Outline: which resting connections a late stop closes: <age> s old
    Then a connection of <age> s that is idle is <fate> 3 s after the stop

    Examples:
      | age  | fate   |
      | 0    | kept   |
      | 0.49 | kept   |
      | 0.5  | closed |
      | 30   | closed |

  Scenario Outline: what a VM takes and when it ends, by how late SIGTERM was handled: <case>
    Given a stop whose signal came between 0 s and <handled> s, with a delay of <delay> s since
    Then requests of 9 s are taken at <taken> s and refused at <refused> s
    And it ends at <ends> s

    Examples:
      | case                        | handled | delay | taken | refused | ends |
      | at once                     | 0.0     | 0.0   | 2.94  | 2.96    | 7.5  |
      | half a second late          | 0.5     | 0.0   | 2.94  | 2.96    | 7.5  |
      | late, and late again        | 0.5     | 0.5   | 2.94  | 2.96    | 7.2  |
      | late again and again        | 0.0     | 0.3   | 2.94  | 2.96    | 7.2  |
      | a suspension before it      | 2.0     | 0.0   | 2.94  | 2.96    | 8.7  |
      | a suspension of all it took | 4.0     | 0.0   | 2.94  | 4.01    | 10.7 |

  Scenario: a request that was read as the process ended got no answer
    Given a caller with an open connection
    When a planned stop reaches its limit in the turn in which a request is read
    Then the caller gets a 503 that says when to come back
    And the gateway stops

  Scenario: a request that was at a server as the process ended got no answer
    Given backend servers that answer by "on demand"
    When a caller has a request in flight and a planned stop reaches its limit
    Then the caller gets a 502 that does not
    And the gateway stops

  Scenario: an answer whose end had arrived was cut as the process ended
    Given backend servers that begin an answer and end it on demand
    When the end of an answer arrives just before a planned stop reaches its limit
    Then the caller gets the whole answer

  Scenario: a request that was sent together with another one got no answer at a stop
    Given backend servers that answer by "on demand"
    When 2 requests are sent at once and the gateway begins a planned stop
    Then 2 requests are answered, and the last answer closes the connection
    And the gateway stops

  Scenario: a request sent after the last answer of its connection began must not run
    Given backend servers that begin an answer and end it on demand
    When a stopping gateway has begun an answer, and another request follows
    Then the answer is whole, and the other request is refused without running
    And the gateway stops

  Scenario: the end of an answer was lost where its caller sent more
    Given backend servers that answer 400000 bytes
    When a caller of a stopping gateway reads nothing for 0.3 s and sends more meanwhile
    Then it still gets the whole answer

  Scenario: the line stopped was dropped where a VM had refused many requests
    Given a caller with an open connection
    When the gateway has written 1000 lines and stops at once
    Then its last line is "stopped"

  Scenario: idle connections are closed, not cut
    Given a caller with an open connection
    When the gateway begins a planned stop
    Then the open connection is closed by the gateway
    And the gateway stops
