Feature: servers that leave are known to all VMs while the log says nothing

  Scenario: a word is told at once, four times, and then each second
    Given VMs "a b c" that know the servers "i-1 i-2"
    When "a" hears from "i-1" that it leaves
    Then "a" has something urgent to tell
    And the next 8 messages of "a", 0.2 s apart, tell of "i-1 four times, then once"

  Scenario: a VM that was told tells it on, each second and not at once
    Given VMs "a b c" that know the servers "i-1 i-2"
    When "a" hears from "i-1" that it leaves
    And "b" is told by "a"
    Then "b" has nothing urgent to tell
    And "i-1" is closed to "a b" and open to "c"
    When "c" is told by "b"
    Then "i-1" is closed to "a b c" and open to "none"

  Scenario Outline: what <who> does not know is told again: <what>
    Given VMs "a b" that know the servers "i-1 i-2"
    When "a" hears from "i-1" that it leaves
    And 10 messages of "a" are lost
    And <who> <what>
    And "b" is told by "a" after 1.0 s
    Then "i-1" is closed to "a b" and open to "none"

    Examples:
      | who | what                              |
      | "b" | does nothing                      |
      | "b" | starts again                      |
      | "b" | does not know the entry of "i-1"  |

  Scenario: of a server whose entry says the same nothing is told
    Given VMs "a b" that know the servers "i-1 i-2"
    When "a" hears from "i-1" that it leaves
    And 10 messages of "a" are lost
    And the entry of "i-1" tells "a" that it leaves
    Then the next 8 messages of "a", 0.2 s apart, tell of "nothing"

  Scenario: of a server that is gone nothing is told
    Given VMs "a b" that know the servers "i-1 i-2"
    When "a" hears from "i-1" that it leaves
    And 10 messages of "a" are lost
    And the entry of "i-1" vanishes for "a"
    Then the next 8 messages of "a", 0.2 s apart, tell of "nothing"

  Scenario: a later start is open to those that were told of the earlier one
    Given VMs "a b" that know the servers "i-1@60 i-2"
    When "a" hears from "i-1@60" that it leaves
    And "b" is told by "a"
    And all read an entry of "i-1" that tells the start 70
    Then "i-1@70" is closed to "none" and open to "a b"

  Scenario: words of many servers fit one message
    Given VMs "a b" that know the servers "i-1 i-2"
    When "a" hears from 400 servers that they leave
    Then no message of "a" tells of more than 12 servers, and "b" knows all 400 in the end

  Scenario: an age that can't be is passed over
    Given VMs "a b" that know the servers "i-1 i-2"
    When "b" is told of "i-1" with an age of -5 ms
    Then "i-1" is closed to "none" and open to "a b"

  Scenario Outline: each VM found out by a retry of its own that a server wants rest: <asked> asked
    Given VMs "a b c d" that know the servers "i-1 i-2"
    When "<asked>" were asked by "i-1" for 3.0 s of rest, and told it
    Then after <seconds> s "a" prefers "<preferred>"

    Examples:
      | asked | seconds | preferred |
      | none  | 0       | i-1 i-2   |
      | b     | 0       | i-1 i-2   |
      | b c   | 0       | i-2       |
      | b c d | 2.9     | i-2       |
      | b c   | 3.1     | i-1 i-2   |

  Scenario: servers that are all likely to want rest close none
    Given VMs "a b c d" that know the servers "i-1 i-2"
    When "b c" were asked by "i-1" for 3.0 s of rest, and told it
    And "b c" were asked by "i-2" for 3.0 s of rest, and told it
    Then after 0 s "a" prefers "i-1 i-2"

  Scenario: a rest is told once, and not of servers that are passed over anyway
    Given VMs "a b c d" that know the servers "i-1 i-2"
    When "b c" were asked by "i-1" for 3.0 s of rest, and told it
    And "a" is asked by "i-2" for 3.0 s of rest
    And "a" is asked by "i-1" for 3.0 s of rest
    Then "a" tells the rests of "i-2", and then none

  Scenario Outline: VMs that missed a word were not told again: <vms> VMs, <near> in their domain
    When one of <vms> VMs in <domains> failure domains hears that a server leaves, and messages of the first second are lost
    Then <seconds> s later all know it, and no VM sent more than <messages> messages a second

    # The next heartbeat tells it; with nothing else to tell there is none before.
    Examples:
      | vms | domains | near | seconds | messages |
      | 8   | 4       | 2    | 4       | 8        |
      | 65  | 4       | 17   | 5       | 50       |

  Scenario: heartbeats named the same twelve leaving servers each time
    When a VM has heard of 30 servers that they leave
    Then another one learns of all 30 by 4 heartbeats alone
