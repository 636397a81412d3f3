Feature: VMs that have just started answer others, and what these conclude

  # A VM that has read the whole table holds no entry that was removed before. An answer
  # that was built earlier and arrives later still has the entry, and its removal is not
  # read again. Guards against servers that are used for as long as the process lives.
  Scenario Outline: an earlier answer that arrives late brings no removed entry back: <late>
    Given a table with the entry "a", and a VM whose answer from <late> is late
    When "b" is removed and "c" written, and a whole table arrives before that answer
    Then that VM holds the entries "a c" and reads on from the log's end

    Examples:
      | late                       |
      | its own first read         |
      | a peer, at its start       |
      | its relay, after its pause |

  # A VM that read of an earlier removal still holds that, after it read the whole table.
  # Guards against an entry that came back and went again, and is kept because of it.
  Scenario Outline: an entry that came back and went again is removed at those that ask a VM that read on whole: <asked>, <source>
    Given a VM that read of the removal of "b", and not that it came back and went again
    When it reads the whole table from <source>, and a VM that has read the new "b" asks it as a <asked>
    Then that VM then holds the entries "a"

    Examples:
      | asked | source                             |
      | relay | the log, which dropped its history |
      | peer  | the log, which dropped its history |
      | relay | a relay that has just started      |
      | peer  | a relay that has just started      |

  # An answer without records that is a whole table was sent at once. Guards against a
  # table that counts as current for longer than it is known to be.
  Scenario: a whole table without entries confirms nothing about the time after the request
    Then a whole table without entries, after a wait of 1.0 s that took 1.3 s, waited 0.0 s
