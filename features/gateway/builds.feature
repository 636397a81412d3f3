Feature: a stream goes on only at the build that began it

  Scenario: streams that break off go on at servers of the build that began them
    Given VMs "vm-1 vm-2 vm-3" before two servers of build v1 and two of v2
    When 120 streams begin, half of which their callers take up at another VM, up to 3 times
    And a third of them are broken off by their servers
    Then no stream holds events of two builds
    And at least 0.97 of those taken up go on, of the share of new ones that begin

  Scenario Outline: a stream of unknown origin is refused at once: <named>
    Given VMs "vm-1 vm-2 vm-3" before two servers of build v1 and two of v2
    When a caller takes up a stream and names "<named>"
    Then it is refused with 503 within 0.05 s, with a time to come back, and no server got it

    Examples:
      | named         |
      | nothing       |
      | a stranger's  |
      | 1500 letters  |

  Scenario Outline: the VM at which a stream began is gone: <servers>
    Given VMs "vm-1 vm-2 vm-3" before <servers>
    When a stream begins at "vm-1", "vm-1" stops, and the stream is taken up at "vm-2" and "vm-3"
    Then it goes on at both, at the build that began it

    Examples:
      | servers                                   |
      | two servers of build v1 and two of v2     |
      | four servers of v1, and two of v2 come    |
      | four servers of v1                        |

  Scenario: the VM that forwards a stream dies, and another one goes on at the build that began it
    Given VMs "vm-1 vm-2 vm-3" before two servers of build v1 and two of v2
    When "vm-1" is cut off and the VMs that forward 6 of its streams die in the middle
    Then no stream holds events of two builds

  Scenario Outline: a server that has started again is asked before a stream begins or goes on there: <report>
    Given a gateway before a server that started again as another build, and one of the build it was
    And that server reports "<report>"
    When a caller takes up a stream of that build, and another one begins a stream
    Then the stream goes on at the "<server>" server, and the new one is served

    Examples:
      | report                  | server |
      | its start               | other  |
      | its start, and closes   | other  |
      | the start that is known | same   |
      | nothing                 | same   |
      | no JSON                 | same   |
      | not found               | same   |
