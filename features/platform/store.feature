Feature: an answer of the store that can't be read is an outage, not an end

  Scenario Outline: a read that follows a position is answered with <answer>
    Then a read after position 4 that is answered with "<answer>" finds <found>

    Examples:
      | answer                      | found                  |
      | two records                 | offsets 4 5            |
      | no record                   | no offset              |
      | nothing at all              | the log unavailable    |
      | half a head                 | the log unavailable    |
      | an end inside a record      | the log unavailable    |
      | an end inside a length      | the log unavailable    |
      | an empty record             | offsets 5              |
      | a key longer than its record | offsets 5             |
      | a key that is not text      | offsets 5              |
      | history that was dropped    | the log trimmed to 9   |
      | 410 with the first offset   | the log trimmed to 9   |
      | 410 without a body          | the log unavailable    |

  Scenario Outline: a route whose type is <type> is sent <sent>
    When a configuration with a route of the type "<type>" is decoded
    Then its requests are sent "<sent>"
    And of the type "<type>" the log says <said>

    Examples:
      | type           | sent       | said    |
      | idempotent     | repeatable | nothing |
      | non_idempotent | once       | nothing |
      | idempotant     | once       | of it   |

  Scenario Outline: lines of the settings file that are not settings: <line>
    Then a settings file with the line "<line>" has <count> skipped lines

    Examples:
      | line             | count |
      | zone=porto       | 0     |
      | unknown.field=   | 0     |
      | # a comment      | 0     |
      | zone: porto      | 1     |

  Scenario Outline: a page of newest records is answered with <answer>
    Then a read of the newest records that is answered with "<answer>" finds <found>

    Examples:
      | answer                      | found                  |
      | one item                    | offsets 3              |
      | a value that is not base64  | the log unavailable    |
      | a page that is not JSON     | the log unavailable    |

  Scenario Outline: a table is read and written at one moment, and each call gets its own answer: <first> first
    Given a table of the store with a record, which was read before
    When it is read and written at one moment, the <first> first
    Then the read finds the record, and the write ends within 0.5 s

    Examples:
      | first |
      | read  |
      | write |
