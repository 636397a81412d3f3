Feature: callers of VMs that start while the log is away

  Scenario Outline: the log is away for <away> s after the start, the deadline is <deadline> s
    When callers with <deadline> s and one retry come while the log is away for <away> s
    Then at least <served> of them reach a VM that knows its settings
    And with a pause of 0.5 s at most <before> of them would

    Examples: a VM knows its settings 0.1 s after the log is back
      | away | deadline | served | before |
      | 0.5  | 8.3      | 1.0    | 1.0    |
      | 2.5  | 8.3      | 1.0    | 0.97   |
      | 4.0  | 8.3      | 1.0    | 0.62   |
      | 8.0  | 8.3      | 0.53   | 0.32   |
      | 2.0  | 2.57     | 0.96   | 0.97   |
      | 3.0  | 1.57     | 0.39   | 0.48   |

  Scenario Outline: the pause at a VM without settings, <left> s left
    Then at a VM without settings a caller with <left> s left pauses <pause> s

    Examples:
      | left | pause |
      | none | 0.5   |
      | 6.0  | 2.0   |
      | 0.3  | 0.1   |
      | -1.0 | 0.0   |

  Scenario Outline: a first read after a silence of <silent> s, answers take <answer> s
    When 195 VMs start together while the log is silent for <silent> s
    And the log's answers take <answer> s
    Then all VMs have read it <within> s after its return
    And with limits on the whole answer alone they would within <before> s

    Examples: a question that a silent log took is lost
      | silent | answer | within | before |
      | 0.0    | 0.02   | 0.1    | 0.1    |
      | 0.0    | 0.25   | 0.3    | 0.3    |
      | 0.0    | 1.0    | 3.6    | 1.0    |
      | 0.0    | 2.5    | 10.1   | 2.5    |
      | 0.9    | 0.02   | 0.8    | 2.6    |
      | 1.2    | 0.02   | 0.5    | 2.3    |
      | 1.8    | 0.02   | 1.1    | 1.7    |
      | 4.0    | 0.02   | 2.7    | 5.7    |

  Scenario Outline: when a first read is given up: <failures> failures, <tried> s
    Then after <failures> failures in <tried> s a first read has <whole> s and <silence> s of silence

    Examples:
      | failures | tried | whole | silence |
      | 0        | 0.0   | 3     | 0.5     |
      | 1        | 0.6   | 6     | 0.5     |
      | 2        | 1.2   | 12    | 0.6     |
      | 5        | 8.0   | 12    | 4       |
      | 9        | 60    | 12    | 12      |

  Scenario: a log that goes on sending is not given up, a silent one is
    Given a log that sends 12 pieces of an answer, each after 0.1 s
    Then a read with 3 s and 1 s of silence gets the whole answer
    Given a log that sends nothing
    Then a read with 3 s and 0.2 s of silence fails with "no byte within 0.2 s"

  Scenario Outline: <servers> servers whose entries lapsed come back, the first read <first> s after the log's return
    When <servers> servers come back within 1.2 s of the log's return
    Then a VM that started in the outage and read first after <first> s lacks <mean> of them in the mean of 2 s
    And at the usual pace it would lack <before>

    Examples:
      | servers | first | mean | before |
      | 43      | 0.1   | 0.36 | 0.52   |
      | 43      | 0.6   | 0.41 | 0.49   |

  Scenario Outline: the pause between two reads of the servers: <tries> tries, known for <known> s
    Then after <tries> tries, known for <known> s, the servers are read again after <pause> s

    Examples: the usual pause is 0.8 s
      | tries | known | pause |
      | 1     | 0.0   | 0.8   |
      | 2     | 0.0   | 0.2   |
      | 2     | 2.1   | 0.2   |
      | 2     | 2.2   | 0.8   |

  Scenario Outline: whether a request waits for a server: <list>, <servers> open, home known <home>
    Then on a list that is <list>, with <servers> open servers and the home known "<home>", a prompt waits: <prompt>, another request: <other>

    Examples:
      | list     | servers | home | prompt | other |
      | settled  | 0       | no   | no     | no    |
      | settled  | 3       | no   | no     | no    |
      | settling | 0       | no   | yes    | yes   |
      | settling | 3       | no   | yes    | no    |
      | settling | 3       | yes  | no     | no    |

  Scenario Outline: how long it may wait: time limit <limit>
    Then with a time limit of <limit> s a request waits <wait> s for a server at most

    Examples:
      | limit | wait |
      | 8.3   | 4.15 |
      | 1.5   | 0.75 |
      | -1    | 0    |

  Scenario: a prompt whose home stays away is served within its time limit
    Given a gateway before two model servers
    And a prompt's home, as the snapshot tells, is a server whose entry has lapsed
    When the prompt comes with a deadline of 0.4 s while lapsed entries come back
    Then the prompt is sent to another server

  Scenario: a prompt waits for the home that comes back
    Given a gateway before two model servers
    And a prompt's home, as the snapshot tells, is a server whose entry has lapsed
    When the prompt comes while lapsed entries come back
    Then no backend server got anything
    When that server's entry is back
    Then the prompt is sent to its home

  Scenario: a prompt whose home does not come back is served all the same
    Given a gateway before two model servers
    And a prompt's home, as the snapshot tells, is a server whose entry has lapsed
    When the prompt comes once the list has settled
    Then the prompt is sent to another server
