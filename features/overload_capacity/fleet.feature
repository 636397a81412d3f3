Feature: many VMs fill a service without coordination

  Each replay plays the state machines of all VMs on one clock, with 1.8 times the
  demand that the servers complete, of three ranks. What servers hold beyond the limit
  is at most one request per VM and what they complete within one report delay.

  Scenario Outline: <vms> VMs with demand beyond the capacity
    When <vms> VMs send 1.8 times what <servers> servers complete for <seconds> s
    Then no more than the limit is held, and of the slots at most <idle> are idle while requests wait
    And of rank 0 at least <urgent> have started, and more of rank 1 than of rank 2

    Examples:
      | vms | servers | seconds | idle | urgent |
      | 72  | 45      | 5       | 0.02 | 0.95   |
      | 72  | 15      | 5       | 0.03 | 0.95   |
      | 360 | 15      | 3       | 0.05 | 0.9    |

  Scenario: demand below the capacity is not held back
    When 72 VMs send 0.6 times what 15 servers complete for 3 s
    Then no request has waited

  Scenario: a partitioned fleet, while member lists are the same and when they differ
    When 72 VMs send 1.8 times what 15 servers complete for 3 s
    And half of the VMs are cut off from the others for 2 s
    Then no more than the limit is held
    When the VMs have removed those of the other half and play 2 s
    Then no more than twice the free capacity is used

  Scenario: VMs that restart together do not send everything at once
    When 72 VMs send 1.8 times what 15 servers complete for 2 s
    And all VMs restart and receive 20 requests each
    Then at most the limit and one request per VM are sent before servers report
    And no more than the limit is held in the next 2 s

  Scenario: a VM without datagrams uses its part and holds to the order of ranks
    When 72 VMs of which one exchanges no datagrams send 1.8 times what 15 servers complete for 4 s
    And 4 s more are played
    Then no more than the limit is held
    And the VM without datagrams starts from 0.3 to 1.7 times the mean of the others
    And it starts more of rank 0 than of the other ranks together

  Scenario: the slots of all servers are halved
    When 72 VMs send 1.8 times what 15 servers complete for 3 s
    And the slots of all servers are halved
    Then within 2 s no more than the new limit is held, and in the next 1.5 s at most 0.1 of the slots are idle

  Scenario: plain servers that report no load, with fewer slots than there are VMs
    When 72 VMs send 1.2 times what 4 plain servers of 6 slots complete for 3 s
    And 3 s more are played
    Then at most 50 requests are held, and of the slots at most 0.15 are idle

  Scenario: plain servers that report no load
    When 72 VMs send 1.2 times what 4 plain servers of 24 slots complete for 5 s
    Then no more than the limit is held, and of the slots at most 0.25 are idle while requests wait
