Feature: A planned stop cuts no request that is in flight

  Scenario: All 8 router VMs are replaced one after another under load
    Given a deployment of 8 routers before 6 engines and 3 plain servers
    And 16 chat callers and 3 booking callers, seed 51
    When each router is stopped as planned and a new one takes its place
    Then the history keeps the promises "bound, whole, not-run, once, stop"
    And each router ended with exit code 0

  Scenario: An engine is drained and stopped under load
    Given a deployment of 3 routers before 4 engines and 2 plain servers
    And 16 chat callers and 3 booking callers, seed 52
    When engine-1 leaves as planned and stops when it is idle
    And the fleet serves again
    Then the history keeps the promises "bound, whole, not-run, once, stop"
