Feature: The command line says what is wrong and what would be right

  Scenario Outline: Checking settings that <what>
    When a settings file that <what> is checked
    Then the command ends with <code> and says "<words>"

    Examples:
      | what                        | code | words                                                  |
      | are the association's       | 0    | coral.jsonc: valid                                     |
      | are the nominations team's  | 0    | jordan.jsonc: valid                                    |
      | break off                   | 2    | bad.jsonc: line 2                                      |
      | have an unknown key         | 2    | bad.jsonc: fleet.bund: unknown key                     |
      | have a bound that is too low | 2   | bad.jsonc: fleet.bound: Input should be greater        |
      | name a pool that isn't there | 2   | services.s.pool: 'q' is not one of ['p']               |
      | use one key twice           | 2    | a key belongs to 'a' already                           |
      | are not there               | 2    | No such file                                           |
      | repeat a key                | 2    | bad.jsonc: Duplicate key "fleet"                       |

  Scenario Outline: <command> against a fleet
    Given a fleet of 2 routers before 1 engines and 1 plain servers
    When the command runs: <command>
    Then the command ends with <code> and says "<words>"

    Examples:
      | command                                       | code | words                        |
      | status                                        | 0    | shard   engines              |
      | status --json                                 | 0    | "seen_by": "vm-1"            |
      | settings show                                 | 0    | // version 0                 |
      | settings history                              | 0    | accepted                     |
      | settings diff examples/coral.jsonc            | 0    | +++ examples/coral.jsonc     |
      | publish PATCH --patch --base 0 --author me    | 0    | accepted as version 1        |
      | publish PATCH --patch --base 7                | 3    | made from version 7          |
      | publish BAD --patch --base 0                  | 2    | fleet.bound                  |
      | dump                                          | 0    | "owned_shards"               |
      | explain vm-1.1.1                              | 1    | the trace is not kept        |
      | explain nonsense                              | 1    | it looks like vm-1.5f3a.1c   |
      | status --key wrong-key                        | 1    | the operators' key is needed |
      | status --url http://127.0.0.1:1               | 5    | Cannot connect               |
      | --help                                        | 0    | Exit codes                   |
      | drain                                         | 0    | draining                     |
