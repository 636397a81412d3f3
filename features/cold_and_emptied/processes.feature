Feature: emptied failure domains and cold servers, with real processes

  VMs are killed, stopped for a while and turned away by the store while failure domains
  are emptied and taken back, and servers come back cold.

  Scenario: nothing reaches an emptied domain, nor too much a cold server
    Then a domain soak of 8 processes, 12 seconds and seed 1 breaks no promise
    And a domain soak of 8 processes, 12 seconds and seed 4 breaks no promise

  Scenario: a VM that was stopped knows what it missed before it sends
    Then a domain soak of 8 processes, 12 seconds and seed 121 breaks no promise

  Scenario: servers that turn cold while the store refuses are known to be cold
    Then a domain soak of 8 processes, 12 seconds and seed 132 breaks no promise
