Feature: connections under the memory budget

  # Freeing the buffered part of an answer during an abort searched for further
  # connections before the first one was no longer counted.
  Scenario: an abort that frees buffered data aborts nothing else
    Given a budget of 1000 kB
    And a connection with 300 kB unread and 300 kB buffered beside one with 800 kB unread
    When the budget is enforced
    Then 1 abort was noted, of the first connection

  # Its pauses were not measured any more.
  Scenario: a new attempt resumes an answer that was paused
    Given a budget of 1000 kB
    When the answer of a connection is paused and its request sent to another server
    Then the pause of its answer has ended

  # Each event of each stream searched all connections.
  Scenario: a budget that nothing can be aborted for is not searched at each write
    Given a budget of 1000 kB
    And 20 small answers that hold 100 kB each
    When the budget is enforced 100 times without a sweep
    Then the connections were searched once
    And once more after it has grown by 3 %
    And once more at each sweep

  # An answer to HTTP/1.0 ends with the connection; a plain close made it look complete.
  Scenario: a cut answer without a length ends with a reset
    When an answer to HTTP/1.0 without a length is cut
    Then its caller sees a reset

  # The refusal was read as the answer to the request that waited before.
  Scenario: a malformed request behind a waiting one is not answered in its place
    Given a budget of 100000 kB
    When a caller that has not read its answer sends a request and then no request
    Then the caller gets its first answer whole and no other
