Feature: refused requests return when there is capacity, and are recognised

  Scenario Outline: Retry-After of one refused request: <what>
    When a request of rank <rank> is refused with capacity in <capacity> s and <left> s left
    Then it may return after <least> to <most> s

    Examples: 10 starts per second; one place is 0.1 s
      | what                               | rank | capacity | left | least | most |
      | capacity now                       | 0    | 0        | 9    | 0.1   | 0.1  |
      | capacity later                     | 0    | 1.0      | 9    | 1.0   | 1.1  |
      | at most a third of the time left   | 0    | 5.0      | 9    | 1.5   | 3.0  |
      | a third of little time             | 0    | 0        | 0.15 | 0.05  | 0.05 |
      | no time left                       | 0    | 1.0      | 0    | 0     | 0    |
      | the time limit has passed          | 0    | 1.0      | -1   | 0     | 0    |

  Scenario Outline: a crowd of <count> that is refused at one moment returns spread
    When <count> requests with <left> s left are refused at one moment, capacity in 0.2 s
    Then in any 0.5 s at most <most> of them return, and the last within <last> s

    Examples: 10 starts per second; those beyond the sequence are spread over half of it
      | count | left | most | last |
      | 10    | 9    | 6    | 1.3  |
      | 25    | 9    | 6    | 2.8  |
      | 100   | 9    | 34   | 3.0  |

  Scenario: a less urgent request returns after the more urgent ones
    When 10 requests of rank 0 and then 5 of rank 1 are refused at one moment
    Then each of rank 1 returns after all of rank 0
    And a further one of rank 0 returns before the last of rank 1

  Scenario: refused requests return at the rate that more urgent ones leave
    Given starts at a rate of 10 per second and a queue of 0 requests
    When for 10 s requests of rank 0 start at 6 per second
    And 10 of rank 1 are refused at one moment
    Then the last of these returns after 2.0 to 3.0 s

  Scenario Outline: a request is recognised as returned: <what>
    When requests of a route arrive: "<arrivals>"
    Then the last of the route is <state>

    Examples: each is SECONDS/DEADLINE in ms[/FINGERPRINT], ! refused by this VM
      | what                                   | arrivals                    | state        |
      | the first one                          | 0/10000                     | not returned |
      | the longest deadline                   | 0/10000 1/10000             | not returned |
      | a shorter deadline                     | 0/10000 1/9000              | returned     |
      | shorter by less than 2 in 100          | 0/10000 1/9850              | not returned |
      | shorter by 2 in 100, but not by 50 ms  | 0/1000 1/960                | not returned |
      | shorter by more than 50 ms             | 0/1000 1/940                | returned     |
      | after the longest one 61 s ago         | 0/10000 66/9000             | not returned |
      | after the longest one 50 s ago         | 0/10000 50/9000             | returned     |
      | refused here, without a deadline       | 0/-/7! 1/-/7                | returned     |
      | refused here 31 s ago                  | 0/-/7! 31/-/7               | not returned |
      | another request refused here           | 0/-/7! 1/-/8                | not returned |
      | sent before, not refused               | 0/-/7 1/-/7                 | not returned |
      | a deadline that is no number           | 0/nan 1/inf 2/10000         | not returned |
      | a deadline in the past                 | 0/10000 1/-5                | not returned |

  Scenario: the memory for returned requests is bounded
    When 10000 requests are refused and 3000 routes have deadlines
    Then at most 4096 fingerprints and 1000 routes are remembered
