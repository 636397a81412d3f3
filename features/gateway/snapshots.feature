Feature: a VM that has just started writes no snapshot that holds less than it may

  Scenario Outline: what was in the snapshot outlives a start: <case>
    Given a snapshot with the home 1 and the quarantined request 77
    When a VM starts for which, for <away> s, the <missing> can't be read
    And after <after> s it places the home 2 and quarantines the request 88
    Then no snapshot lacks the home 1 or the request 77
    And the snapshot has the homes 1 and 2 and the requests 77 and 88 within <within> s

    Examples:
      | case                                | missing  | away | after | within |
      | all is read at once                 | snapshot | 0.0  | 0.3   | 3      |
      | the snapshot is read late           | snapshot | 1.0  | 0.3   | 4      |
      | the snapshot is read after attempts | snapshot | 4.0  | 0.3   | 9      |
      | observed after those attempts       | snapshot | 4.0  | 3.0   | 9      |
      | the snapshot's read hangs           | answer   | 0.8  | 0.3   | 4      |
      | the servers are known late          | servers  | 1.0  | 0.3   | 4      |
      | the servers are known very late     | servers  | 4.0  | 3.5   | 8      |

  Scenario Outline: what is observed while the snapshot is read is written: <observed>
    Given no snapshot
    When a VM starts for which, for 0.8 s, the answer can't be read
    And after 0.3 s it <observed>
    Then the snapshot has <content> within 4 s

    Examples:
      | observed                    | content         |
      | places the home 2           | the home 2      |
      | quarantines the request 88  | the request 88  |

  Scenario: a VM without the list of VMs does not count itself as the first of them
    Given a VM that has read all but the list of VMs
    When it has placed a prefix and a quarantine has begun
    Then it writes no snapshot within 3 s
    When it has read the list of VMs
    Then it writes a snapshot soon
