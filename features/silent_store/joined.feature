Feature: a store that is silent while VMs start keeps none of them from serving

  # A first read waited 3, 6 and 12 s on the connection on which the store was silent.
  Scenario Outline: a read waits on a silent connection though the store answers others: <store>
    Given a store whose first calls are answered "<store>"
    When a table is read from it within <limit> s
    Then the read ends "<end>" after <least> to <most> s, and the store got <calls> calls

    Examples:
      | store                                 | limit | end      | least | most | calls |
      | at once                               | 3     | answered | 0.0   | 1.0  | 1     |
      | never, at once                        | 6     | answered | 1.4   | 2.4  | 2     |
      | never, never, at once                 | 6     | answered | 2.9   | 3.9  | 3     |
      | never, never, never, at once          | 12    | answered | 4.4   | 5.4  | 4     |
      | late, never, never                    | 12    | answered | 3.9   | 4.9  | 3     |
      | slowly, never                         | 12    | answered | 3.9   | 5.4  | 1     |
      | reset                                 | 3     | failed   | 0.0   | 1.0  | 1     |
      | never, reset, reset, at once          | 6     | answered | 4.4   | 5.4  | 4     |
      | never, never, never                   | 3     | failed   | 2.9   | 3.9  | 2     |

  # Random moments of a start at which the store falls silent, each on real connections.
  Scenario: VMs wait out their time-outs after a store that was silent during their start has returned
    Then each of 50 tables is read within 2 s of the last return of a store that is silent once to three times
