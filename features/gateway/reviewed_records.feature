Feature: the only recorded build is no evidence where a stream may have begun elsewhere

  # "v2" left and its record was removed by another VM. Guards against a VM that still takes it
  # for recorded: streams begin there at once, and nobody records that for seconds.
  Scenario Outline: a build whose record another VM removed is recorded before streams begin there: <case>
    Given records of the builds "v1 v2 complete" with their servers: <case>
    When "v2" comes back after another VM removed its record: <case>
    Then no stream may begin at "v2" yet
    And a stream that begins at "v2" all the same is recorded within 0.5 s

    Examples:
      | case                                              |
      | this VM read the record 30 s after the build left |
      | this VM could not reach the log as it was removed |

  # Servers of new entries are used at once, while the builds of all servers are noted each
  # 0.25 s. Guards against streams in between at a build whose record may be gone.
  Scenario: a build that is back after 55 s is noted as its first entry is read
    Given records of the builds "v1 v2 complete" with their servers: back after 55 s
    When the entry of a server of "v2" is read 55 s after its last server left
    Then no stream may begin at "v2" yet, before the next look at all servers

  # Guards against one VM, cut off from the log or dead within a tenth of a second, at which
  # streams begin at a new build though the server in the old build's record is open.
  Scenario Outline: a stream that began at an unrecorded build does not go on elsewhere: <case>
    Given records of the builds "v1 complete" with their servers: <case>
    When a stream begins at a VM that can't write, which is lost: <case>
    Then it is not continued at "v1" by a VM that has just started

    Examples:
      | case                                        |
      | one server of v1 beside three of v2         |
      | the server of v1 refused the request        |
      | the server of v1 is not reached by that VM  |

  # Guards against entries without a build: streams begin there, and are never recorded.
  Scenario: a stream that began at a server whose entry states no build does not go on elsewhere
    Given records of the builds "v1 complete" with their servers: beside one without
    When a stream of unknown origin is taken up beside a server whose entry states no build
    Then it is not continued at "v1" by a VM that has just started

  # Guards against the pause after failed calls, which holds up the record of a build at which
  # streams begin.
  Scenario: a build at which streams begin is recorded as soon as the store takes writes
    Given records of the builds "v1 complete" with their servers: away for a while
    When streams begin at "v2" while the store refuses all calls for 10 to 14 s
    Then the record of "v2" is written within 0.5 s after it

  # Guards against a removal that was decided before the build came back.
  Scenario: a build that comes back while another record is removed stays recorded
    Given records of the builds "v1 v2 v3 complete" with their servers: two expire
    When "v3" comes back while the removal of "v2" takes 4 s
    Then the records contain "v1 v3 complete"

  # Guards against evidence from a list of servers that may lack a newer build, at a VM that
  # has no other VM to ask.
  Scenario Outline: the only recorded build is no evidence where the VM knows less: <case>
    Given records of the builds "v1 complete" with their servers: <case>
    When a stream is taken up at a VM that reads the records alone: <case>
    Then it is not continued at "v1" by a VM that has just started

    Examples:
      | case                               |
      | its list of servers is 30 s old    |
      | the list of VMs has not been read  |

  # Guards against streams that went on once, and are refused when they break off again after
  # the new build was recorded.
  Scenario: a stream that went on at the only recorded build goes on again at another VM
    Given records of the builds "v1 complete" with their servers: taken up twice
    When a stream goes on at the only recorded build, and again at another VM once "v2" is recorded
    Then the stream goes on at "v1"
