Feature: What is called not-run was in fact not run

  Scenario Outline: <failure>
    Given a fleet of 2 routers before 2 engines and 2 plain servers
    When bookings without a key are sent while <failure>
    Then each booking that is called not-run did not run
    And each booking that ran is called <ran>
    And the outcomes are <outcomes>

    Examples:
      | failure                                     | ran            | outcomes |
      | all is well                                 | ran            | ran      |
      | both servers are gone                       | ran            | not-run  |
      | one server is gone                          | ran            | ran      |
      | the servers lose their answers              | ran or unknown | unknown, not-run |
      | the servers answer too late                 | ran or unknown | unknown          |
      | the servers are frozen                      | ran or unknown | unknown          |
      | the caller leaves                           | ran or unknown | none             |

  Scenario: A request that waits past its time is refused at once, with when to come back
    Given a fleet of 1 routers before 1 engines and 1 plain servers
    And the pool of engines has 2 slots and waits of at most 0.3 seconds
    When 12 callers chat at once
    Then some are refused with a wait's reason, Retry-After and not-run
    And no refusal came later than the longest wait and a second
    And what was refused did not run
