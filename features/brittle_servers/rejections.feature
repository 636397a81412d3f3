Feature: requests that brittle servers reject

  Scenario Outline: brittle servers fell over since each VM learned of rejections by its own alone
    # A server counts the rejections of all VMs: two that tolerate 4 a second reject 6 VMs once.
    When a server that tolerates <tolerance> rejections has rejected "<rejections>"
    Then at <at> s it is <state>

    Examples:
      | tolerance | rejections               | at   | state  |
      | 4         | none                     | 1.5  | open   |
      | 4         | vm-1@1                   | 1.5  | open   |
      | 4         | vm-1@1 vm-1@1.1          | 1.5  | open   |
      | 4         | vm-1@1 vm-2@1.2          | 1.5  | closed |
      | 4         | vm-1@1 vm-2@1.2          | 2.1  | open   |
      | 4         | vm-1@1 vm-2@1.2 vm-3@1.5 | 2.1  | closed |
      | 4         | vm-1@1+9 vm-2@1.2+9      | 2.1  | open   |
      | 3         | vm-1@1                   | 1.5  | closed |
      | 1         | vm-1@1                   | 1.5  | closed |
      | 1000      | vm-1@1 vm-2@1.2          | 1.5  | closed |
      | 4         | own@1                    | 1.5  | closed |
      | 0         | vm-1@1 vm-2@1 vm-3@1     | 1.5  | open   |

  Scenario Outline: a closed server has no free capacity, and each rejection reduces what the others queue
    When a server that tolerates <tolerance> rejections has rejected "<rejections>"
    Then at <at> s six servers of 8 slots with 3 own requests each may hold <limit>

    Examples:
      | tolerance | rejections      | at  | limit |
      | 4         | none            | 1   | 60    |
      | 4         | vm-1@1          | 1   | 57    |
      | 4         | vm-1@1          | 1.5 | 58.2  |
      | 4         | vm-1@1          | 9   | 60    |
      | 4         | vm-1@1 vm-2@1   | 1   | 48.62 |
      | 0         | vm-1@1 vm-2@1   | 1   | 60    |

  Scenario Outline: a VM that sees its own requests alone sends a brittle server its part
    Then a VM with <own> of <all> requests at six servers that are <state>, <reports> load reports, sends one at most <most>

    Examples:
      | own | all | state       | reports | most |
      | 8   | 48  | brittle     | without | 2    |
      | 1   | 60  | brittle     | without | 1    |
      | 48  | 48  | brittle     | without | 10   |
      | 8   | 48  | not brittle | without | 10   |
      | 8   | 48  | brittle     | with    | 10   |
