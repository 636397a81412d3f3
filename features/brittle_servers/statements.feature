Feature: servers that state that they are brittle

  Scenario Outline: a server states "<value>"
    Then the header "<value>" states a tolerance of <tolerance>

    Examples:
      | value   | tolerance |
      | 4       | 4         |
      | 1       | 1         |
      | 0       | 0         |
      | -1      | 0         |
      | 4.5     | 0         |
      | four    | 0         |
      | 1000001 | 0         |
      |         | 0         |

  Scenario Outline: <case>
    When the servers of a service state "<statements>"
    Then at <at> s the service is <state>

    Examples:
      | case                                          | statements      | at  | state       |
      | nothing was stated                            |                 | 1   | not brittle |
      | a statement is in effect for 5 s              | own@1           | 5.9 | brittle     |
      | and no longer                                 | own@1           | 6.1 | not brittle |
      | each statement prolongs it                    | own@1 own@3     | 7.9 | brittle     |
      | another VM's counts from when it got it       | peer@3-2        | 5.9 | brittle     |
      | and no longer                                 | peer@3-2        | 6.1 | not brittle |
      | an old one of another VM does not shorten it  | own@3 peer@4-4  | 7.9 | brittle     |
      | one that was over when it arrived             | peer@9-6        | 9   | not brittle |

  Scenario: a VM sends a statement at once, and again while it is in effect
    When the servers of a service state "own@1"
    Then the statement is sent at "1 2 3 4 5" when asked each 0.25 s until 8 s

  Scenario Outline: overload control with <settings> while servers are <state>
    Then with <settings> and <state> servers overload control applies to <services>

    Examples:
      | settings                  | state       | services |
      | no settings               | not brittle | none     |
      | no settings               | brittle     | brittle  |
      | a configuration without   | brittle     | brittle  |
      | a configuration with      | not brittle | all      |
      | a configuration with      | brittle     | all      |
      | routing settings without  | brittle     | none     |
