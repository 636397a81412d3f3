Feature: No backend server gets more than a set multiple of the mean load

  Generated sequences of events against the synchronous parts; derandomised, so
  that each run is the same.

  Scenario Outline: The allocator keeps the bound through <events>
    Then generated <events> keep these of the allocator: bound, counts, one decision each

    Examples:
      | events                            |
      | asks and releases                 |
      | asks, releases and lost VMs       |
      | asks, releases and members        |
      | asks, releases, reports and syncs |

  Scenario: Two VMs never count for one shard at the same time
    Then generated pauses, cuts and outages never let two VMs grant at once

  Scenario Outline: The bound at small means: <total> requests over <members> members at bound <bound>
    Then a backend server may hold <cap> after a placement

    Examples:
      | total | members | bound | cap |
      | 0     | 9       | 1.25  | 1   |
      | 1     | 9       | 1.25  | 1   |
      | 8     | 9       | 1.25  | 2   |
      | 9     | 9       | 1.25  | 2   |
      | 90    | 9       | 1.25  | 13  |
      | 90    | 9       | 1.5   | 15  |
      | 3     | 1       | 1.25  | 4   |
