Feature: an origin that may be wrong, or a record that may be missing, proves nothing

  # An attempt at v1 is recorded and fails, the next one at v2 sends the first event. Guards
  # against a record of the first attempt alone that names the wrong build.
  Scenario: an attempt that failed at another build leaves no wrong origin
    Given an attempt at "v1" that was recorded and failed
    When the stream begins at "v2" and is recorded, and all VMs are lost
    Then it does not go on at "v1"

  # The same where the log holds the record of the first attempt alone.
  Scenario: an attempt that failed at another build leaves no wrong origin though nothing can be written after it
    Given an attempt at "v1" that was recorded and failed
    When the stream begins at "v2" while the store takes no writes, and all VMs are lost
    Then it does not go on at "v1"

  Scenario Outline: a stream is recorded again after an attempt at another build, as datagrams get lost: <first>, <second>
    When a request is sent to a server of "<first>" and then to one of "<second>"
    Then with its first event the stream is recorded again: <again>

    Examples:
      | first | second | again |
      | v1    | v2     | yes   |
      | v1    | v1     | no    |

  # Guards against a read of the records that is older than the stream's first event.
  Scenario: records that were read between the attempts of a stream do not name its build
    Given an attempt at "v1" that was recorded and failed
    When another VM reads the records, and the stream begins at "v2" and is recorded
    Then it does not go on at "v1" at that VM

  # Guards against the record of an intended origin that the doubt on the server's build
  # came too late for, or did not reach.
  Scenario Outline: a stream that began at a server of doubted build is not taken up elsewhere: <case>
    When a stream begins at a server of "v1" that may have started again: <case>
    Then no VM lets it go on

    Examples:
      | case                         |
      | before the request is sent   |
      | after the request is sent    |

  # Guards against a keeper that answers for a stream with two origins as if it knew none.
  Scenario: a stream that two builds began is refused at VMs that ask its keepers
    When a keeper knows a stream of two builds, of which the records still contain "v2"
    Then a VM that asks the keeper refuses the stream

  # Guards against a removal by a VM that has not read that the build is back, while the
  # other VMs hold it as recorded.
  Scenario Outline: a build that is back stays recorded though a VM removed its record: <case>
    Given records of the builds "v1 v2 complete"
    When "v1" is back at one VM, and another removes its record and dies: <case>
    Then the records contain "v1 v2 complete"

    Examples:
      | case                            |
      | it was suspended meanwhile      |
      | it reads the entry 0.8 s later  |

  Scenario: a build that is back is recorded though the answer to its removal was lost
    Given records of the builds "v1 v2 complete"
    When the store loses all answers for 5 s as "v1" expires, and "v1" comes back meanwhile
    Then the records contain "v1 v2 complete"

  # Guards against VMs that take one build for certain because they have not read of a new
  # one, at which a stream began: a build is recorded once all have read of it.
  Scenario Outline: no stream begins at a build that is not recorded: <recorded>, <case>
    When the records contain "<recorded>", and streams may begin at servers of "v1" and "v2": <case>
    Then a stream may begin at "<builds>"

    Examples:
      | recorded | case                                | builds |
      | v1       | as many servers                     | v1     |
      | v1 v2    | as many servers                     | v1 v2  |
      | v2       | as many servers                     | v2     |
      | unread   | as many servers                     | v1 v2  |
      | v1       | no server of v1 is healthy          | none   |
      | v1       | no server of v1 is open             | v2     |
      | v1       | the route is not resumable          | v1 v2  |
      | v1       | three servers of v2, and one of v1  | v1     |

  # Guards against few servers that get the streams of many until a build is recorded.
  Scenario Outline: a new build is recorded at once where few other servers are left: <case>
    When the records contain "v1", and streams may begin at servers of "v1" and "v2": <case>
    Then "v2" is to be recorded: <due>

    Examples:
      | case                               | due |
      | as many servers                    | no  |
      | no server of v1 is healthy         | yes |
      | three servers of v2, and one of v1 | yes |

  # The same where the records can't be read. VMs read the list of servers up to 1.8 s apart.
  Scenario Outline: no stream begins at a build before all VMs have read of it: <case>
    When servers of "v1" serve, and <seconds> s after the first list servers of "v2" come: <case>
    Then a stream that begins <later> s later may begin at "<builds>"

    Examples:
      | case                       | seconds | later | builds |
      | new                        | 30      | 0.5   | v1     |
      | no longer new              | 30      | 2.0   | v1 v2  |
      | in the VM's first list     | 0.2     | 0.5   | v1 v2  |
      | no server of v1 is healthy | 30      | 0.5   | v2     |
      | the route is not resumable | 30      | 0.5   | v1 v2  |

  # Guards against streams noted at the old entry of a server that started again with
  # another build while its service had one.
  Scenario: a stream that began at a restarted server before its new entry was read is refused
    When a stream begins at a server of the only build "v1", whose new entry with "v2" is read 0.5 s later
    Then it does not go on at "v1" there

  # Guards against an origin that counts as recorded though nothing was.
  Scenario: an origin that could not be recorded before its request is recorded with its first event
    When a stream begins at a VM that was not in the list of VMs as the request was sent
    Then its origin is recorded

  # Slots of a shard are named alike at all VMs, and each write replaces the whole slot.
  Scenario: a recorder that begins within a slot keeps what another one recorded there
    When two recorders of one shard record a stream each within one slot
    Then a VM that has just started finds where both began

  # Five answers that a stream is unknown tell its caller to stay away for good.
  Scenario: a keeper that has just started does not answer that a stream is unknown
    Then a keeper that has just started gives no answer about an unknown stream
