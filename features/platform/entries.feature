Feature: entries of backend servers that can't be read, or are of another start

  Whoever may write to the store may leave an entry under a server's id. One that can't be
  read names no server to use; the server's next good entry puts it back.

  Scenario Outline: an entry of a server: <entry>
    Then an entry "<entry>" is <taken>, naming "<part>"

    Examples: each field is needed, but for the start
      | entry                    | taken   | part              |
      | good                     | taken   |                   |
      | draining                 | taken   |                   |
      | with a start             | taken   |                   |
      | with unknown fields      | taken   |                   |
      | without service          | refused | service           |
      | without address          | refused | address           |
      | without zone             | refused | zone              |
      | without version          | refused | version           |
      | without capacity         | refused | capacity          |
      | without state            | refused | state             |
      | without sequence         | refused | sequence          |
      | without cold_remaining_ms | refused | cold_remaining_ms |
      | service of another type  | refused | service           |
      | address of another type  | refused | address           |
      | zone of another type     | refused | zone              |
      | version of another type  | refused | version           |
      | capacity of another type | refused | capacity          |
      | state of another type    | refused | state             |
      | sequence of another type | refused | sequence          |
      | born of another type     | refused | born              |
      | born as a fraction       | refused | born              |
      | born below zero          | refused | born              |
      | born too large           | refused | born              |
      | an empty service         | refused | service           |
      | an unknown state         | refused | state             |
      | a negative capacity      | refused | capacity          |
      | a huge capacity          | refused | capacity          |
      | no port                  | refused | address           |
      | port 0                   | refused | address           |
      | port 99999               | refused | address           |
      | a port of many digits    | refused | address           |
      | a port of other digits   | refused | address           |
      | a host that is a name    | refused | address           |
      | a list                   | refused |                   |
      | not a number             | refused |                   |
      | an infinite number       | refused |                   |
      | half an entry            | refused |                   |
      | not UTF-8                | refused |                   |
      | no bytes                 | refused |                   |
      | nested deeply            | refused |                   |
      | a megabyte               | refused |                   |
      | a key that is no id      | refused |                   |

  Scenario: whatever bytes an entry holds, it is taken or refused
    Then entries and configurations of any bytes are taken or refused

  Scenario: whatever bytes a VM's entry or a snapshot of homes holds, what was known holds
    Then entries of VMs of any bytes are taken, or leave what was known
    And snapshots of homes of any bytes are taken, or leave what was known

  Scenario: a server whose entry can't be read gets no new work until its next good one
    Given a gateway process before the servers "i-1 i-2"
    Then through each of these entries all requests go to "i-2", and back to both after it
      | entry                  |
      | without service        |
      | an unknown service     |
      | state of another type  |
      | an unknown state       |
      | a port of other digits |
      | half an entry          |
      | not UTF-8              |
      | nested deeply          |
      | a megabyte             |
    And each of them that can't be read is one line with the server and what is wrong

  Scenario: entries that can't be read reach a VM through others
    Given a gateway process before the servers "i-1 i-2"
    And a second one that the store turns away once it has started
    Then through each of these entries all requests go to "i-2", and back to both after it
      | entry                  |
      | without service        |
      | an unknown state       |
      | a port of other digits |
      | half an entry          |
      | not UTF-8              |
      | nested deeply          |
      | a megabyte             |
    And each of them that can't be read is one line with the server and what is wrong
    And the store answered the second one nothing meanwhile

  Scenario: an entry of a VM that can't be read leaves what was known, and is counted
    Given a gateway process before the servers "i-1 i-2"
    When another writer leaves these entries of the VM "vm-9"
      | entry            |
      | {"host": 7}      |
      | {"host": "10.0.0 |
      | [[[[             |
    Then 3 entries of "members" are counted as refused

  Scenario Outline: a start of <told> where <known> is known
    Then an entry with the start <told> where <known> is known is "<verdict>"

    Examples:
      | known | told | verdict  |
      | none  | none | same     |
      | 5     | 5    | same     |
      | none  | 5    | later    |
      | 5     | 6    | later    |
      | 5     | 4    | earlier  |
      | 5     | none | unstated |

  Scenario: what was known of a server's earlier start does not count for the later one
    Then a server that starts again under its id is known anew
    And what others tell of its earlier start is passed over
    And an earlier start that is told later is not taken

  Scenario: a request at a server that started again moves on, and one that may run once waits
    Given a gateway process before the servers "i-1"
    When "i-1" answers nothing and starts again under its id
    Then a stream that may be resumed is answered by the new start
    And a request that may run once ends without a second run

  Scenario Outline: odd entries in all tables end no process, and later ones are followed: <when>
    Given two gateway processes, and odd entries in all tables <when>
    Then all processes follow a server that is added, and end with exit code 0

    Examples:
      | when                          |
      | before they start             |
      | after they have started       |
      | read by a third one by relay  |
