Feature: gateway processes keep the bound on load while machines stall

  What plain_servers.feature replays on one clock, with real processes, sockets and
  signals: the order in which processes get their turns is the machine's.

  Scenario: eighty processes keep the bound through silent servers and bunches
    Then a load soak of 80 processes, 9 seconds and seed 12 with "stall_server" keeps the bound
    And a load soak of 80 processes, 9 seconds and seed 11 with "bunch freeze_domain" keeps the bound

  # Callers asked about one subject at once, 5 to 20 of them at some 80 VMs. Each VM saw one
  # such prompt or none, believed the server that had the prefix to be nearly idle, and sent
  # its own there: 41 of 479 prompts in 5 s met it over the limit, 27 requests at one time.
  # No report of the server's load can be there before the prompts are. The VMs remember its
  # peaks instead, and share a prefix that the fleet meets often among several servers.
  Scenario: eighty processes keep the bound while prompts of one subject come in bunches
    Then a load soak of 80 processes, 9 seconds and seed 21 with "bunch_prompts" keeps the bound
