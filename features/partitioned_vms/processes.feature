Feature: VMs partitioned from backend servers, with real processes

  Scenario: callers of VMs that were partitioned from all servers were hardly served
    # Each attempt was charged to its server, and there was no other path to any of them.
    Then a partition trial of 8 processes, 7 seconds and seed 1 in the form "hang" breaks no promise
    And a partition trial of 8 processes, 7 seconds and seed 1 in the form "refused" breaks no promise
    And a partition trial of 8 processes, 7 seconds and seed 1 in the form "live" breaks no promise
    And a partition trial of 8 processes, 7 seconds and seed 1 in the form "reset" breaks no promise
    And a partition trial of 8 processes, 7 seconds and seed 1 in the form "one_way" breaks no promise

  Scenario: VMs are partitioned while VMs are killed, stopped and drained and the store refuses
    Then a partition soak of 8 processes, 14 seconds and seed 7 breaks no promise
    And a partition soak of 8 processes, 14 seconds and seed 101 breaks no promise

  Scenario: requests were refused after three VMs that were stopped or cut off had not taken them
    Then a partition soak of 8 processes, 14 seconds and seed 163 breaks no promise
