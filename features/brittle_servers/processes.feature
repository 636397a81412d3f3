Feature: brittle servers under overload, with real processes

  Scenario: brittle servers fell over together, and again as soon as they were back
    # Nothing read what servers said of themselves, and each VM sent until it was rejected.
    Then a brittle trial of 6 processes, 14 seconds and seed 1 with 4 load figures breaks no promise
    And a brittle trial of 6 processes, 14 seconds and seed 2 with 0 load figures breaks no promise
