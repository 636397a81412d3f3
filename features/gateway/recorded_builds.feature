Feature: streams that began while one build was recorded go on there after their VMs are lost

  # Guards against streams that began while their service had one build, whose VMs are lost
  # before the next build is observed: their origin is nowhere, and all were refused.
  Scenario Outline: a stream of unknown origin goes on at the only recorded build: <case>
    Given records of the builds "<records>" with their servers: <case>
    When a stream of unknown origin is taken up where servers of "<servers>" serve: <case>
    Then the stream goes on at "<build>"

    Examples:
      | case                               | records        | servers | build |
      | a new build beside it              | v1 complete    | v1 v2   | v1    |
      | two new builds beside it           | v1 complete    | v1 v2 v3 | v1   |
      | its list of servers is 3 s old     | v1 complete    | v1 v2   | v1    |
      | both are recorded                  | v1 v2 complete | v1 v2   | none  |
      | no mark                            | v1             | v1 v2   | none  |
      | the store is away                  | away           | v1 v2   | none  |
      | it has no server                   | v1 complete    | v2 v3   | none  |
      | its server leaves                  | v1 complete    | v1 v2   | none  |
      | it came back with other servers    | v1 complete    | v1 v2   | none  |
      | a stream began here at the new one | v1 complete    | v1 v2   | none  |
      | another VM recorded the new one since this one read | v1 complete | v1 v2 | none |
      | a read began before another VM recorded the new one | v1 complete | v1 v2 | none |

  # Guards against streams at a build that is not recorded, of which VMs that start after the
  # loss of all know nothing; and against callers who come again once it is.
  Scenario Outline: a new build is recorded before streams begin there: <case>, <seconds> s
    Given records of the builds "v1 complete" with their servers: <case>
    When a VM of servers of "v1" observes "v2" for <seconds> s: <case>
    Then the records contain "<records>"

    Examples:
      | case                                   | seconds | records        |
      | no stream goes on                      | 1.5     | v1 complete    |
      | no stream goes on                      | 2.5     | v1 v2 complete |
      | a stream begins there at once          | 0.5     | v1 v2 complete |
      | each second a stream goes on at v1     | 7.5     | v1 complete    |
      | each second a stream goes on at v1     | 8.5     | v1 v2 complete |

  # Guards against records that name servers which are gone, so that nothing goes on.
  Scenario Outline: a record names open servers again: <case>, <seconds> s
    Given records of the builds "v1 complete" with their servers: <case>
    When another server takes the place of the recorded one for <seconds> s: <case>
    Then the record of "v1" names the <named> server

    Examples:
      | case                       | seconds | named |
      | beside a new build         | 50      | first |
      | beside a new build         | 65      | other |
      | the service has one build  | 1       | other |

  # Guards against a record of the one server that was read first, which a release of some
  # servers takes away: nothing went on for a minute then.
  Scenario: the first record of a build names all servers that were read with the first
    Given records of the builds "complete" with their servers: none yet
    When a VM reads a list with servers "a b c" of "v1", the first of which it has looked at
    Then the record of "v1" names the servers "a b c"

  Scenario: take-ups at one moment read the records together
    Given records of the builds "v1 complete" with their servers: many
    When 200 streams of unknown origin are taken up within 0.2 s
    Then the records are read about once each 0.1 s at most

  # Guards against take-ups that call a store which refuses as fast as they come.
  Scenario: take-ups do not call a store that refuses without a pause
    Given records of the builds "v1 complete" with their servers: many
    When 200 streams of unknown origin are taken up within 0.2 s while the store refuses
    Then the records are read about once each 0.1 s at most

  # Guards against streams at a build that nobody records, as the records can't be read.
  Scenario: a build at which streams began is recorded though the records can't be read
    Given records of the builds "v1 complete" with their servers: unread
    When a VM whose reads fail lets a stream begin at "v2"
    Then the records contain "v1 v2 complete"

  # Guards against streams that wait for records which no answer comes from.
  Scenario: streams do not wait for records that can't be read, but at a VM's start
    Given records of the builds "away" with their servers: unread
    When a stream is about to begin at a VM that started 1 s ago, where "v1" and "v2" serve
    Then it does not wait

  # Guards against a new build that counts as used because a stream began at a VM before it
  # had read the records.
  Scenario: a VM that starts reads the records before streams begin where several builds serve
    Given records of the builds "v1 complete" with their servers: slow
    When a stream is about to begin at a VM that has just started, where "v1" and "v2" serve
    Then it waits until the records are read
