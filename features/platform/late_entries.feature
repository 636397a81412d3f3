Feature: entries of a server that the store takes late change nothing

  A call that got no answer may be done seconds later. So the order of the log is not the
  order in which a server wrote its entries.

  Scenario Outline: bookings reached a leaving engine after a late heartbeat: <entries>
    Given a gateway process before the servers "i-1 i-2"
    When the store takes the entries "<entries>" of "i-1"
    Then requests go to "<used>" alone

    Examples: STATE:SEQUENCE, "gone" for a removal, "read" until the VM has read so far
      | entries                                        | used    |
      | draining:6 read ready:3                        | i-2     |
      | draining:6 ready:3                             | i-2     |
      | draining:6 read gone read ready:3              | i-2     |
      | ready:5 read gone read ready:4                 | i-2     |
      | ready:5 read gone read ready:5                 | i-2     |
      | draining:6 read ready:3 ready:4 ready:5        | i-2     |
      | draining:6 ready:4 draining:7 ready:5 read     | i-2     |
      | ready:5 bad read ready:4                       | i-2     |
      | draining:6 bad read ready:4                    | i-2     |
      | draining:6 read ready:6                        | i-2     |
      | draining:6 read ready:7                        | i-2     |
      | ready:7 read draining:6                        | i-2     |
      | draining:6 read gone read ready:7              | i-2     |

    Examples: sound servers
      | entries                                        | used    |
      | ready:5 ready:5 read                           | i-1 i-2 |
      | ready:5 read gone read ready:6                 | i-1 i-2 |
      | ready:5 bad read ready:6                       | i-1 i-2 |

  # The entry in use is replaced before it is compared to the new one.
  Scenario: a VM writes no line when a server's entry changes
    Given a gateway process before the servers "i-1 i-2"
    When the store takes the entries "ready:5 read draining:6 read" of "i-1"
    Then a line "server_known" says that "i-1" is leaving

  Scenario Outline: late entries that reach a VM through others: <entries>
    Given a gateway process before the servers "i-1 i-2"
    And a second one that the store turns away once it has started
    When the store takes the entries "<entries>" of "i-1"
    Then requests go to "i-2" alone

    Examples:
      | entries                           |
      | draining:6 ready:3                |
      | draining:6 read ready:3           |
      | draining:6 read gone read ready:3 |

  Scenario Outline: a server that starts again under its id without a start is served by its third heartbeat: <before>
    Given a gateway process before the servers "i-1 i-2"
    When the store takes the entries "<before>" of "i-1"
    And it starts again under its id and writes 3 entries, one each heartbeat
    Then requests go to "i-1 i-2" alone

    Examples:
      | before                     |
      | ready:40 read gone read    |
      | draining:40 read           |
      | draining:40 read gone read |

  Scenario Outline: a VM that reads through others takes such a server two heartbeats later at the latest: <before>
    Given a gateway process before the servers "i-1 i-2"
    And a second one that the store turns away once it has started
    When the store takes the entries "<before>" of "i-1"
    And it starts again under its id and writes 5 entries, one each heartbeat
    Then requests go to "i-1 i-2" alone

    Examples:
      | before                     |
      | draining:40 read           |
      | draining:40 read gone read |

  Scenario Outline: which entry of a server is current: <entries>
    Then after the entries "<entries>" the last one is "<verdict>"

    Examples: STATE:SEQUENCE@SECONDS, a start behind a slash; one heartbeat is 1.2 s
      | entries                                              | verdict       |
      | ready:1@0                                            | CURRENT       |
      | ready:1@0 ready:2@1.2                                | CURRENT       |
      | ready:2@0 ready:2@1.2                                | CURRENT       |
      | ready:3@0 ready:2@0.1                                | OLDER         |
      | draining:3@0 ready:2@0.1                             | OLDER         |
      | draining:3@0 ready:3@0.1                             | TAKEN_BACK    |
      | draining:3@0 ready:4@1.2                             | TAKEN_BACK    |
      | draining:3@0 draining:4@1.2                          | CURRENT       |
      | ready:3@0 draining:2@0.1                             | OLDER         |
      | ready:3@0 draining:2@0.1 ready:4@1.2                 | TAKEN_BACK    |
      | ready:3@0 gone@1 ready:3@2                           | OLDER         |
      | ready:3@0 gone@1 ready:4@2                           | CURRENT       |
      | draining:3@0 gone@1 ready:4@2                        | TAKEN_BACK    |
      | ready:9/5@0 ready:1/6@1                              | CURRENT       |
      | ready:9/5@0 ready:10/4@1                             | EARLIER_START |
      | draining:9/5@0 gone@1 ready:8/5@2                    | OLDER         |
      | draining:9/5@0 gone@1 ready:10/4@2                   | EARLIER_START |
      | draining:9/5@0 gone@1 ready:1/6@2                    | CURRENT       |
      | draining:9/5@0 ready:1@0.1 ready:8/5@0.2             | OLDER         |

    Examples: three in rising order, over half a heartbeat, with no other between, show a restart
      | entries                                                        | verdict    |
      | draining:9@0 ready:1@2 ready:2@3.2                             | OLDER      |
      | draining:9@0 ready:1@2 ready:2@3.2 ready:3@4.4                 | CURRENT    |
      | draining:9@0 ready:1@2 ready:2@3.2 ready:3@4.4 ready:4@5.6     | CURRENT    |
      | draining:9@0 ready:3@2 ready:4@2.1 ready:5@2.2                 | OLDER      |
      | draining:9@0 ready:3@0.1 ready:4@0.5 ready:5@1.1               | OLDER      |
      | draining:9@0 ready:3@2 ready:5@3.2 ready:4@4.4                 | OLDER      |
      | draining:9@0 ready:3@2 ready:3@3.2 ready:3@4.4                 | OLDER      |
      | draining:9@0 ready:3@2 ready:4@2.4 draining:10@2.8 ready:5@3.2 | OLDER      |
      | draining:9@0 ready:10@1.2 ready:11@2.4                         | TAKEN_BACK |
      | draining:9@0 ready:10@1.2 ready:11@2.4 ready:12@3.6            | CURRENT    |
      | draining:9@0 gone@1 ready:1@2 ready:2@3.2 ready:3@4.4          | CURRENT    |

    Examples: an incarnation is remembered for 900 s after its entry was removed
      | entries                                          | verdict |
      | draining:9@0 gone@1 other@900 ready:8@900.5      | OLDER   |
      | draining:9@0 gone@1 other@901 ready:8@901.5      | CURRENT |

  Scenario Outline: what a replica keeps and passes on of an outdated record: <records>
    Then a replica that takes "<records>" keeps "<held>", passes "<since>" on from 2 and "<whole>" as a whole

    Examples: OFFSET:VALUE of one key; "late" values are outdated, "none" removes the key
      | records                  | held   | since         | whole         |
      | 1:a 2:b                  | 2:b    | 2:b           | 2:b           |
      | 1:a 2:b 3:late           | 2:b    | 2:b 3:late    | 2:b 3:late    |
      | 1:a 2:b 3:late 4:c       | 4:c    | 4:c           | 4:c           |
      | 1:a 2:b 3:late 3:late    | 2:b    | 2:b 3:late    | 2:b 3:late    |
      | 1:a 2:b 4:late 3:late    | 2:b    | 2:b 4:late    | 2:b 4:late    |
      | 1:a 2:none 3:late        | 2:none | 2:none 3:late |               |
      | 1:a 2:none 3:late 4:none | 4:none | 4:none        |               |

  Scenario: an outdated record of a removed key leaves with it from a table that is read whole
    Then a replica that takes "1:a 2:none 3:late" and then a whole table without the key keeps nothing of it

  Scenario: an older configuration that the store took late hid the newer one from VMs behind a relay
    Then a VM that takes version 7 and then version 6 passes both on, and keeps 7
    And a VM that takes a configuration that can't be read passes the one before on as well
