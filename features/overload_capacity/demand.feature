Feature: the demand of the fleet and this VM's part of it

  Scenario Outline: this VM's part with <own> own requests, <others> of <senders> senders, <known> known VMs
    Then of <known> known VMs <senders> others sent <others> waiting requests, and this VM with <own> has the part <part>

    Examples: VMs whose demand is not known are taken to have the mean
      | known | senders | others | own | part  |
      | 72    | 71      | 30     | 10  | 0.25  |
      | 72    | 71      | 0      | 1   | 1     |
      | 72    | 0       | 0      | 5   | 0.0139 |
      | 72    | 35      | 30     | 10  | 0.125 |
      | 36    | 35      | 30     | 10  | 0.25  |
      | 1     | 0       | 0      | 5   | 1     |
      | 0     | 0       | 0      | 5   | 0     |
      | 2     | 3       | 30     | 10  | 0.25  |

  Scenario Outline: a demand that was received <age> s ago
    Then a demand of 3 running requests that arrived <age> s ago counts as <running>

    Examples:
      | age | running |
      | 0   | 3       |
      | 1.9 | 3       |
      | 2.1 | 0       |

  Scenario: no demand expires while the process is behind after a stall
    Then after a stall of 3 s a demand counts until 0.1 s after it, and not after that

  Scenario: a fleet that is too large for messages to all VMs counts its failure domain
    Then of 360 VMs in 4 failure domains the demand of the own domain is scaled by 4
    And demand of all failure domains counts up to the fleet whose messages arrive in time

  Scenario Outline: demand is sent <when>
    Then demand with <held> of a limit of 30 held is sent in "<messages>" of 4 messages

    Examples: the second figure is what is held from the third message on
      | held  | messages | when                                       |
      | 5     | none     | not below half of the limit                |
      | 16    | 1 2 3 4  | above half of the limit                    |
      | 16:5  | 1 2 3    | once more when it has fallen below half    |
      | 5:16  | 3 4      | from half of the limit on                  |

  Scenario: where servers report no load, demand is sent each 0.5 s while a VM has some
    Then demand of 1 of 1350 without load reports is sent at "0.0 0.5 1.0" s of 1.4 s, and none without demand

  Scenario: with overload control disabled nothing is sent, applied or changed on the wire
    Then disabled, 72 busy VMs send no demand, and a datagram has the bytes of the earlier version
    And disabled, the demand of a peer is ignored

  Scenario Outline: a hint of demand: <hint>
    Then the hint '<hint>' is "<outcome>"

    Examples:
      | hint                                       | outcome |
      | ["models", 3, [0,0,1,0,0,0,0,0,0,0]]       | applied |
      | ["unknown", 3, [0,0,1,0,0,0,0,0,0,0]]      | dropped |
      | ["models", -1, [0,0,1,0,0,0,0,0,0,0]]      | dropped |
      | ["models", 3, [0,0,-1,0,0,0,0,0,0,0]]      | dropped |
      | ["models", 3, [0,0,1]]                     | dropped |
      | ["models", 3, []]                          | dropped |
      | ["models", 3, [0,0,1,0,0,0,0,0,0,0,0]]     | dropped |
      | ["models", 1000001, [0,0,1,0,0,0,0,0,0,0]] | dropped |

  Scenario: dropped hints are counted, and logged at most once a second
    Then 50 unknown hints in 0.9 s leave 1 line and are counted as 50

  Scenario: datagrams of other versions are read
    Then a datagram without demand gives none, and one with a further field is read
    And a datagram whose demand is not a list of hints is dropped as malformed
