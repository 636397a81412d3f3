Feature: a stopping VM loses no request, real processes

  # Streams that had been taken over 3 s after SIGTERM were cut, or the process was killed
  # with its lines unwritten: the stop counted from the handling of the signal.
  Scenario: streams taken late were cut where SIGTERM was handled late
    Then soaks of stops break no promise:
      | form                 | seed |
      | paused_at_signal     | 1    |
      | paused_at_signal     | 2    |
      | paused_before_signal | 2    |

  # The second of two requests sent at once was dropped behind an answer that closes.
  Scenario: requests queued behind an answer were dropped at a stop
    Then soaks of stops break no promise:
      | form      | seed |
      | pipelined | 1    |
      | pipelined | 2    |

  # A throttled process read requests after it had stopped, in its loop's last turns.
  Scenario: requests read as the process ended got no answer
    Then soaks of stops break no promise:
      | form        | seed |
      | two_seventh | 1    |
      | two_seventh | 2    |
      | two_seventh | 3    |

  Scenario: no request is lost at stops in series, beside SIGHUP and changes
    Then soaks of stops break no promise:
      | form        | seed |
      | series      | 1    |
      | drawn       | 111  |
      | drawn       | 122  |
      | drawn       | 131  |
      | all_quarter | 4    |
      | seventh     | 3    |
