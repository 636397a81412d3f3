Feature: what was before a VM's start is not taken for nothing

  Scenario Outline: one build is certain only where the past is known: <case>
    Given records of the builds "<records>"
    When a VM starts that sees servers of "<servers>", the fleet's first start: <first>
    Then the only build of its service is "<only>"

    Examples:
      | case                                    | records        | servers | first | only |
      | the fleet starts for the first time     |                | v1      | yes   | v1   |
      | no record, and the fleet was there      |                | v1      | no    | none |
      | records without the mark                | v1             | v1      | no    | none |
      | the same build before and now           | v1 complete    | v1      | no    | v1   |
      | another build before                    | v1 complete    | v2      | no    | none |
      | two builds before, one left             | v1 v2 complete | v2      | no    | none |
      | one build before, two now               | v1 complete    | v1 v2   | no    | none |
      | a record that can't be decoded          | v1 bad complete | v1     | no    | v1   |
      | the log is away                         | away           | v1      | no    | none |
      | the log is away at the first start      | away           | v1      | yes   | none |
      | the log is away, no entry has a build   | away           | -       | no    | -    |

  Scenario: a VM that observed less takes nothing out of the records
    Given records of the builds "v1 v2 complete"
    When a VM starts that sees servers of "v2", the fleet's first start: no
    And a second VM starts that sees servers of "v2"
    Then the records contain "v1 v2 complete"

  Scenario: VMs that start together record their build and the mark
    Given records of the builds ""
    When a VM starts that sees servers of "v1", the fleet's first start: yes
    And 4 s pass
    Then the records contain "v1 complete"

  Scenario: a build that was recorded by a VM without the past proves nothing to the next
    Given records of the builds ""
    When a VM starts that sees servers of "v2", the fleet's first start: no
    And 4 s pass
    And a second VM starts that sees servers of "v2"
    Then the records contain "v2"
    And the only build of its service is "none"

  Scenario: a list of servers that was outdated makes the past unknown until the records are read
    Given records of the builds "v1 complete"
    When a VM starts that sees servers of "v1", the fleet's first start: no
    And its list of servers is outdated for 5 s, and another VM records "v2"
    Then the only build of its service is "none"

  Scenario: a build of which no server is left for long is removed from the records
    Given records of the builds "v1 v2 complete"
    When a VM starts that sees servers of "v2", the fleet's first start: no
    And 61 s pass
    Then the records contain "v2 complete"
    And the only build of its service is "v2"

  Scenario Outline: the origin of a stream outlives the VMs that held it: <case>
    Given a stream that began at "v1" is recorded <age> s ago: <case>
    When a VM that has just started reads where it began
    Then it finds "<found>"

    Examples:
      | case                                  | age | found    |
      | recorded                              | 1   | v1       |
      | and a stream of the same key at v2    | 1   | conflict |
      | and its slot was used again           | 1   | none     |
      | and the log is away                   | 1   | unread   |
      | and a slot that can't be decoded      | 1   | v1       |

  Scenario: a record that another VM removed is not written again
    Given records of the builds "v1 v2 complete"
    When a VM starts that sees servers of "v2", the fleet's first start: no
    And 30 s pass
    And another VM removes the record of "v1", and the VM reads the records again
    And 4 s pass
    Then the records contain "v2 complete"

  Scenario: a record whose removal failed is removed once the log is back
    Given records of the builds "v1 v2 complete"
    When a VM starts that sees servers of "v2", the fleet's first start: no
    And 59 s pass
    And the log is away for 5 s
    And 10 s pass
    Then the records contain "v2 complete"

  Scenario: a record is removed by another VM if the one that should is gone
    Given records of the builds "v1 v2 complete"
    When a VM starts that sees servers of "v2", the fleet's first start: no
    And another VM counts as the writer
    And 70 s pass
    Then the records contain "v2 complete"

  Scenario: the record of a build that came back before its removal stays
    Given records of the builds "v1 v2 complete"
    When a VM starts that sees servers of "v2", the fleet's first start: no
    And 58 s pass
    And the log is away for 5 s, after a build "v3" came, and "v1" comes back at the end
    And 5 s pass
    Then the records contain "v1 v2 v3 complete"

  Scenario: a VM that read no list of servers for a minute does not know the past
    Given records of the builds "away"
    When a VM starts whose list of servers cannot be read for 63 s
    And its list of servers is read, with servers of "v2"
    Then the only build of its service is "none"

  Scenario: a read of the records that began before a gap proves nothing after it
    Given records of the builds "v1 complete"
    When a VM starts whose read of the records is answered after a suspension
    Then the only build of its service is "none"

  Scenario: the origins of earlier streams are sent when another VM reports a build
    Then a VM that knows a stream of "v1" sends its origin when "mixed" is reported

  Scenario: an id that begins at two builds within one slot has no origin
    Given a stream that began at "v1" is recorded 0 s ago: and a stream of the same key at v2
    When a VM that has just started reads where it began
    Then it finds "conflict"

  Scenario: callers are not sent away while the only build's servers start again
    Then a stream of the only build, whose servers are all gone, may come back soon

  Scenario: a store that refuses is not called without a pause
    Then 100 take-ups one after the other cause at most 3 reads of origins that fail

  Scenario: a store that refuses the recorder is not called without a pause
    Then origins of 10 s that cannot be written cause at most 15 calls in a second

  Scenario: a VM that lost all others and the log does not take one build for certain
    Then a VM whose list is 30 s old, and whose others fell silent 10 s ago, refuses a take-up
