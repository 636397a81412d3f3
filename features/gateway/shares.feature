Feature: a VM that has just started does not count itself as the only one

  Scenario Outline: its share of <most> connections where the list of VMs has <others> others
    Given a VM whose servers accept <most> connections, beside <others> VMs, its list of VMs unread
    Then its share of a server's connections stays <before> for 0.6 s
    When the list of VMs can be read
    Then its share of a server's connections becomes <after>

    Examples: 0.9 of them are divided
      | most | others | before | after |
      | 100  | 0      | 1      | 90    |
      | 100  | 9      | 1      | 9     |
      | 10   | 99     | 1      | 1     |
