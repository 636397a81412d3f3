Feature: gateway processes keep their promises while things fail

  Scenario Outline: a short soak with seed <seed>
    Then a soak of <seconds> seconds with seed <seed> breaks no promise

    Examples: fresh
      | seed | seconds |
      | 1    | 6       |
      | 2    | 6       |
