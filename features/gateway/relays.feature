Feature: few VMs read the log and pass on what they read

  Scenario Outline: relays of a failure domain: <vms>
    Then with the VMs "<vms>" the relays of "a1" are "<relays>"

    Examples:
      | vms                           | relays |
      | a1 a2 a3 a4                   |        |
      | a1 a2 a3 a4 b1 b2             |        |
      | a1 a2 a3 a4*9 a5*5            | a4 a5  |
      | a1*7 a2 a3*8 a4 a5            | a3 a1  |
      | a1 a2 a3 a4 a5*9:lost       |        |
      | a1 a2 a3 a4*4 a5*3 a6:lost  | a4 a5  |

  Scenario: a VM reads from a relay, and not from the log
    Given a gateway before two plain servers
    And a table read through that gateway as its relay
    When version 7 is published
    Then the table soon gives version 7 without a read of the log

  Scenario: only the newest of many versions crosses the link, compressed
    Given a gateway before two plain servers
    And a table read through that gateway as its relay
    When 40 large versions are published
    Then one read of the table gives the last one alone in under 6000 bytes

  Scenario Outline: a relay that can't be trusted is passed over: <trouble>
    Given a gateway before two plain servers
    And a table read through that gateway as its relay
    When the relay is "<trouble>"
    Then a read of the table comes from the log

    Examples:
      | trouble |
      | gone    |
      | old     |
      | behind  |

  Scenario: a relay that loses the log is found out long before the bound
    Given a gateway before two plain servers
    And a table read through that gateway within a bound of 2 s
    When the relay loses the log after an answer
    Then the log itself is read within 0.8 of the bound

  Scenario Outline: how old records may grow on their way, bound <bound> s
    Then a table with the bound <bound> s is relayed as a relay's read waits <relay>
    And a table with the bound <bound> s is relayed as a first question waits 0.0
    And a table with the bound <bound> s is relayed as a question with 0.5 s old knowledge waits <question>

    Examples:
      | bound | relay | question |
      | 1     | 0.0   | 0.0      |
      | 2     | 0.0   | 0.5      |
      | 3     | 0.2   | 1.0      |
      | 8     | 1.2   | 2.0      |

  Scenario Outline: heartbeats stay bounded in any fleet: <vms>
    Then among "<vms>" the VM "a1" sends heartbeats to near VMs each <near> s
    And among "<vms>" the VM "a1" sends heartbeats to far VMs each <far> s

    Examples:
      | vms                      | near | far |
      | a:2 b:2                  | 2.5  | 2.5 |
      | a:20 b:20 c:20 d:20      | 2.5  | 2.5 |
      | a:72 b:72 c:72 d:72 e:72 | 2.5  | 7.2 |

  Scenario Outline: who counts as live <passed> s after the last message: <vms>
    Then among "<vms>" the VM "a1" counts as live "<live>" after <passed> s

    Examples:
      | vms                      | passed | live      |
      | a:20 b:20                | 5      | a b       |
      | a:72 b:72 c:72 d:72 e:72 | 5      | a b c d e |
      | a:72 b:72 c:72 d:72 e:72 | 10     | b c d e   |

  Scenario Outline: a relay's knowledge stays young enough, bound <bound> s, pause <pause> s
    Then within a bound of <bound> s and with pauses of <pause> s a relay's answers are taken at any moment

    Examples:
      | bound | pause |
      | 2     | 0.05  |
      | 2     | 0.8   |
      | 3     | 0.05  |
      | 3     | 0.8   |
      | 8     | 0.8   |
