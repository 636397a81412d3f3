Feature: a service under more load than it can run

  Six gateway processes before four servers with 8 slots and a queue of 24 each. Every
  admitted request was sent at once, so at 1.8 times the servers' throughput for 8 s their
  503 hit whichever request came next: 8 in 100 of the most urgent ones, and 6 in 100 of
  the least urgent were held until their deadline.

  Scenario: urgent requests are served, and the least urgent refused at once
    When "priorities" is played without overload control with seeds 1-2
    And the trial "priorities" is played with seeds 1-2
    Then callers get at least
      | requests   | share  | least |
      | priority 0 | served | 0.99  |
      | priority 1 | served | 0.97  |
    And of priority 2 not served, 0.99 are refused at once
    And at least 0.9 of those served without it are served

  Scenario: a customer with 8 times its usual load does not delay the others
    When the trial "customers" is played with seeds 1-2
    Then callers get at least
      | requests | share  | least |
      | ash      | in 1 s | 0.97  |
      | birch    | in 1 s | 0.97  |

  # Work takes three times as long at one of four servers: a tenth of the throughput.
  Scenario: a slow server gets a share according to its speed
    When the trial "slow" is played with seeds 1-2
    Then callers get at least
      | requests   | share  | least |
      | priority 0 | in 1 s | 0.985 |
    And the slow server runs between 0.05 and 0.15 of the requests

  # Servers with 24 and 40 slots whose entries stated 8 looked full at a third of their load.
  Scenario Outline: servers with free slots refuse nothing: <trial>
    When the trial "<trial>" is played with seeds 1-1
    Then callers get at least
      | requests | share  | least |
      | all      | served | 1.0   |

    Examples: servers with 24 or 40 slots at 0.5 or 0.65 of what they bear
      | trial                |
      | half                 |
      | half_without_reports |
      | two_thirds           |

  Scenario: overload breaks no promise while VMs, datagrams, store and servers fail
    Then an overload soak of 20 seconds with seed 1 breaks no promise
    And an overload soak of 20 seconds with seed 2 breaks no promise

  Scenario Outline: a VM that gets most new connections serves as before: <overload control>
    Then a crowd soak of 8 processes with seed 1 <overload control> breaks no promise

    Examples: nine in ten connections at one VM, then at another, 1.3 times as many callers
      | overload control         |
      | with overload control    |
      | without overload control |
