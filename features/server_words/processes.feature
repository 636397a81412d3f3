Feature: what servers say of themselves in their answers, with real processes

  Scenario: requests reached servers whose answers said that they leave
    # Entries went on to say ready; VMs read leaving from entries alone.
    Then a word soak of 4 processes, 9 seconds and seed 5 with "leave_unheard" breaks no promise

  Scenario: requests reached servers that had asked for rest
    # A server that turned a request away was passed over for 0.15 s, whatever it asked for.
    Then a word soak of 4 processes, 9 seconds and seed 5 with "rest_some" breaks no promise

  Scenario: servers leave and want rest while the store is harmed and VMs are
    Then a word soak of 6 processes, 12 seconds and seed 101 breaks no promise
    And a word soak of 6 processes, 12 seconds and seed 107 breaks no promise

  Scenario: callers were refused though a server was open, when others began to turn them away
    Then a word soak of 6 processes, 12 seconds and seed 275 breaks no promise
    And a word soak of 6 processes, 12 seconds and seed 280 breaks no promise

  Scenario: callers were refused though a server was open, since it had turned others away
    Then a word soak of 6 processes, 12 seconds and seed 325 breaks no promise
    And a word soak of 6 processes, 12 seconds and seed 330 breaks no promise
    And a word soak of 6 processes, 12 seconds and seed 344 breaks no promise
