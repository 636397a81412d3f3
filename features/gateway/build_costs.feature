Feature: records of builds and origins cost the platform's store little

  # An eighteenth of the target size. A small deployment's limits, 400 writing and 2,000
  # reading calls a second, are 22 and 111 for as many VMs; a large one's 178 and 889. Guards
  # against calls by every VM where one suffices, and against calls while nothing changes.
  Scenario Outline: calls in the worst second: <pattern>
    When 20 VMs play "<pattern>" with 120 streams a second
    Then in the worst second there are at most <reads> reads and <writes> writes
    And each of 20 VMs has what it needs within <wait> s

    Examples:
      | pattern              | reads | writes | wait |
      | calm day             | 0     | 0      | 0.1  |
      | first start          | 40    | 30     | 0.1  |
      | all start, one build | 20    | 2      | 0.1  |
      | new build            | 20    | 30     | 0.1  |
      | both builds serve    | 0     | 30     | 0.1  |
      | all lost             | 40    | 30     | 0.5  |
      | all lost, shared     | 40    | 30     | 0.5  |
      | new build while all are lost | 200 | 30 | 0.5 |
