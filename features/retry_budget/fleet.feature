Feature: all VMs together keep the platform's budget of retries

  # Repeats piled up beyond the allowance while VMs restarted and saw few others.
  Scenario: repeats pile up beyond the fleet's allowance while VMs restart and see few others
    Then no window has more repeats than the fleet is allowed
      | form      | seeds               |
      | steady    | 1 3                 |
      | kills     | 1 2 5 6 10          |
      | kill_all  | 4 12                |
      | views     | 4 5 10 11           |
      | losses    | 4 8 10 11           |
      | store     | 6 7                 |
      | additions | 4 7                 |
      | moves     | 4 7 11              |
      | mixed     | 1 2 3 4 5 7 8 10 11 |

  # The same class: VMs that see few others took more of a server's connections.
  Scenario: a VM that is cut off from the others takes their connections to a server
    Given a gateway before two plain servers
    And servers that take 100 connections in all
    When the VM has heard nothing of 9 others for 30 s
    Then its share of a server's connections is 9
