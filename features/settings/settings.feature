Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario: Operators race, and each is told truthfully
    Given a deployment of 4 routers before 2 engines and 1 plain servers
    When 4 operators race until each has had 3 changes accepted
    Then the history keeps the promises "settings"
    And each version has one change, and some were refused as conflicts
    And all routers end with the same settings

  Scenario Outline: Changes while <trouble>
    Given a deployment of 4 routers before 2 engines and 1 plain servers
    When changes are published while <trouble>
    Then the history keeps the promises "settings"
    And all routers end with the same settings

    Examples:
      | trouble                                     |
      | the log loses its answers                   |
      | the log goes down and comes back            |
      | vm-2 is cut off from the log                |
      | routers are killed and replaced             |

  Scenario: A VM that starts while the log is down gets the settings from its peers
    Given a deployment of 3 routers before 2 engines and 1 plain servers
    When the log is down and vm-9 starts
    Then vm-9 is ready with the settings of the others
    And it serves a chat

  Scenario: A VM that starts when nothing can give it settings is not ready
    Given a deployment of 1 routers before 2 engines and 1 plain servers
    When the log is down, vm-1 is killed and vm-9 starts
    Then vm-9 is not ready because of "no settings yet"

  Scenario: All VMs are replaced after the records were trimmed to a snapshot
    Given a deployment of 2 routers before 2 engines and 1 plain servers
    When 70 changes are published, a snapshot is written, and older records are trimmed
    And all routers are killed and new ones start
    Then all routers end with the same settings

  Scenario: One caller that goes through several VMs never sees an older version
    Given a deployment of 4 routers before 2 engines and 1 plain servers
    When a caller follows 15 changes through all VMs, telling what it has seen
    Then it never saw an older version

  Scenario Outline: A record that is <what> is refused alike by all
    Given a deployment of 2 routers before 2 engines and 1 plain servers
    When a record that is <what> is on the log
    Then all routers stay at the version before, and show why

    Examples:
      | what               |
      | no object          |
      | of an unknown kind |
      | against the schema |
      | made from nothing  |
