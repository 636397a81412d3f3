Feature: streams stay at one build while VMs and servers fail, real processes

  Scenario Outline: streams stay at one build while VMs and servers fail and a build is rolled out: <seed>
    Then a soak of streams with 6 processes, 10 seconds, seed <seed> and "kill_vm,stop_vm,kill_server,roll_out,refuse_store" breaks no promise

    Examples:
      | seed |
      | 11   |
      | 12   |

  Scenario: streams stay at one build while all VMs lose power
    Then a soak of streams with 6 processes, 10 seconds, seed 13 and "kill_all,roll_out" breaks no promise

  Scenario: streams stay at one build while servers start again under their id with another one
    Then a soak of streams with 6 processes, 10 seconds, seed 8 and "restart_server" breaks no promise
