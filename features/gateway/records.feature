Feature: settings and servers are in force soon and never go back

  Background:
    Given a gateway before two plain servers

  Scenario: a new version is in force without a restart
    When version 2 moves "/once/" to the service "other"
    Then a request to "/once/" reaches only the service "other" soon

  Scenario: an older version changes nothing
    When version 3 is published and then version 2
    Then the version in force is 3

  Scenario: a key that was taken away is refused on an open connection
    Given a caller with an open connection
    When its key is taken away
    Then its next request on that connection gets 401 soon

  Scenario Outline: a first read gets more time, a later one does not: it needs <needed> s
    Then a table whose first read needs <needed> s is read with the limits "<limits>"
    And once it is known, a whole read is limited to 1.0 s

    Examples:
      | needed | limits   |
      | 0.1    | 3        |
      | 5      | 3 6      |
      | 12     | 3 6 12   |

  Scenario: unreadable settings change nothing
    When unreadable settings are published and then version 4
    Then the version in force is 4

  Scenario: a draining server gets no new request
    When one server says that it is draining
    Then requests to "/once/" reach only the other soon

  Scenario: a server whose entry vanished gets no new request
    When the entry of one server vanishes
    Then requests to "/once/" reach only the other soon

  Scenario: entries that vanish with the log are held for a while
    When the log goes away, and one entry vanishes before it is back
    Then that server is still used at first, and gone in the end

  Scenario: the log's outage changes nothing that is known
    When the log goes away
    Then requests to "/once/" are still answered

  Scenario: a log that lost its history is read anew
    When the log forgets its history and one entry is gone from it
    Then requests to "/once/" reach only the other soon

  Scenario: homes of prefixes outlast the loss of every VM
    Given 50 prefixes placed through the gateway, and a snapshot written
    When every VM is lost and a new one starts
    Then the new one knows the same 50 homes

  Scenario: nothing is served before there are settings
    Given a second gateway whose log is away
    Then it is not ready, and refuses with when to come back

  Scenario: a VM that starts while the log is away asks for what callers need alone
    Given a second gateway whose log is away
    When it has asked for settings and servers 3 times each
    Then it has asked for nothing else
    When its log comes back
    Then it reads the VMs and the homes, and announces itself

  Scenario: a VM that the log turns away learns from a peer
    Given a second gateway whose log is away and that knows the first
    Then it becomes ready and serves
    When version 5 is published
    Then the second gateway has version 5 in force soon
