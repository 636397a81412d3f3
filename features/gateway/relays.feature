Feature: few VMs read the log and pass on what they read

  Scenario Outline: relays of a fleet: <vms>
    Then with the VMs "<vms>" the relays of "a1" are "<relays>"

    Examples:
      | vms                         | relays |
      | a1 a2 a3 a4                 |        |
      | a1 a2 a3 a4*9 a5*5          | a4 a5  |
      | a1*7 a2 a3*8 a4 a5          | a3 a1  |
      | a1*2 a2*3 b1*1 b2*1 b3*1.5  | a2 b3  |
      | a1*2 a2*9 a3*8 b1*1 c1*0.5  | a2 b1  |
      | a1 a2 a3 a4 a5*9:lost       |        |
      | a1 a2 a3 a4*4 a5*3 a6:lost  | a4 a5  |

  Scenario Outline: a large fleet has more relays: <vms>
    Then among "<vms>" there are <count> relays, in <domains> failure domains

    Examples:
      | vms                      | count | domains |
      | a:2 b:2                  | 0     | 0       |
      | a:2 b:2 c:2 d:2          | 2     | 2       |
      | a:80                     | 2     | 1       |
      | a:21 b:22 c:22 d:22      | 3     | 3       |
      | a:72 b:72 c:72 d:72 e:72 | 9     | 5       |

  Scenario Outline: the relay that "<vm>" asks among "<relays>", avoiding "<avoided>"
    Then "<vm>" asks "<asked>" among the relays "<relays>" while it avoids "<avoided>"

    Examples:
      | vm | relays | avoided | asked |
      | a1 | a1 b1  | none    | none  |
      | a2 | a1 b1  | none    | a1    |
      | b2 | a1 b1  | none    | b1    |
      | b2 | a1 b1  | b1      | a1    |
      | b2 | a1 b1  | a1 b1   | none  |
      | c1 | a1 b1  | a1      | b1    |
      | c1 | none   | none    | none  |

  Scenario: a question that ends its wait in vain leaves nothing behind
    Given a gateway before two plain servers
    And a table read through that gateway as its relay
    When the table is read 3 times and waits 0.05 s in vain
    Then no question waits at the relay

  Scenario Outline: what an empty answer says of the time it waited: <records>, <took>
    Then a read of "<records>" that waits 1.0 s and takes <took> s waited <waited> s in vain

    Examples:
      | records | took | waited |
      | none    | 1.01 | 1.0    |
      | none    | 0.5  | 0.0    |
      | one     | 1.01 | 0.0    |

  Scenario Outline: VMs that the log turns away are no relays: <vms>
    Then with the VMs "<vms>" the relays of "a1" are "<relays>"

    Examples:
      | vms                               | relays |
      | a1*2 a2 a3 a4*9:away a5*5         | a5 a1  |
      | a1*2 a2 b1*9:away b2*8:away c1*3  | c1 a1  |
      | a1:away a2*2:away a3:away a4:away a5*5:away | a5 a2  |

  Scenario Outline: whether the log is up, by this VM's own calls: <calls>
    Then after the calls "<calls>" the log is <state> to this VM <passed> s later

    Examples:
      | calls                | passed | state |
      | none                 | 0      | up    |
      | failed               | 0      | up    |
      | failed failed        | 0      | down  |
      | failed ok failed     | 0      | up    |
      | failed failed ok     | 0      | up    |
      | failed failed        | 11     | up    |

  Scenario: while the log is away a VM asks its relay and spares the log
    Given a gateway before two plain servers
    And a table read through that gateway within a bound of 2 s
    When the relay loses the log after an answer
    And the log is lost to the reader too
    Then 5 further questions cost at most 1 call to the log
    And after the relay's return a question is answered by it

  Scenario: VMs tell each other whether the log serves them
    Then a VM that learns that the log is "down" tells it with its next message
    And a VM that learns that the log is "up" tells it with its next message

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

  Scenario: news that reached a relay late in its wait does not send VMs to the log
    Given a gateway before two plain servers
    And a table read through that gateway within a bound of 4 s
    When the relay's knowledge is 2.5 s old as version 7 is published
    Then the table soon gives version 7 without a read of the log
    And the next question comes from the relay as well

  Scenario Outline: where one relay fails another is asked: the first <first>, the other <other>
    Given a gateway before two plain servers
    And a table read through two relays, the first <first>, the other <other>
    Then a read of the table comes from the <source>, after <reads> reads of the log

    Examples:
      | first | other | source       | reads |
      | well  | well  | first relay  | 0     |
      | gone  | well  | other relay  | 0     |
      | gone  | gone  | log          | 1     |

  Scenario: a relay that loses the log is found out long before the bound
    Given a gateway before two plain servers
    And a table read through that gateway within a bound of 2 s
    When the relay loses the log after an answer
    Then the log itself is read within 0.8 of the bound

  Scenario Outline: how old records may grow on their way, bound <bound> s
    Then a table with the bound <bound> s is relayed as a relay's read waits <relay>
    And a table with the bound <bound> s is relayed as a relay's read after news waits 0.0
    And a table with the bound <bound> s is relayed as a first question waits 0.0
    And a table with the bound <bound> s is relayed as a question after old news waits <settle>
    And a table with the bound <bound> s is relayed as a question with 0.5 s old knowledge waits <question>

    Examples:
      | bound | relay | question | settle |
      | 1     | 0.0   | 0.0      | 0.1    |
      | 2     | 0.0   | 0.5      | 0.2    |
      | 3     | 0.4   | 1.0      | 0.3    |
      | 8     | 2.0   | 2.0      | 0.8    |

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

  # A VM that starts reads the entries that are there, and none that was removed before.
  # Guards against VMs that go on sending to a server whose removal such a VM skips.
  Scenario Outline: entries that were removed before a VM read the table are removed at those that ask it: <asked>, <case>
    Given the entries "a b", which a VM has read, and then b is removed and c written
    When it reads on through another VM that <case>: <asked>
    Then it holds the entries "a c", read up to the log's end

    Examples:
      | asked | case                      |
      | relay | has just started          |
      | relay | was there all the time    |
      | peer  | has just started          |
      | peer  | was there all the time    |
      | peer  | started from such a VM    |
