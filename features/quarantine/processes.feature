Feature: a request under which servers end does not end one after the other

  Users saw a prompt that ends each server that begins to run it. Its caller sent it again
  and again, to any VM, and each time it took two servers with it, the first and the one to
  which the VM sent it again:

    46.899 s  server i-c3dd813e15 runs it
    46.958 s  its run ends: 200 crashed
    46.962 s  reaches server i-3634eb65fa
    47.658 s  server i-3634eb65fa runs it
    47.753 s  its run ends: 200 crashed
    47.759 s  the client gets 502

  27 servers ended, all eight of the service within two seconds, and with each of them up to
  89 requests that were in flight there. Each VM judged one exchange at a time: nothing
  remembered what a request had done before, at the same VM or at another, and the servers
  were blamed for it. Played with eight real processes, a prompt that came 3 times a second
  for 9 s reached servers 26 times later than 3 s after it had ended the third, where 3
  are borne, and ended 37.

  Scenario: a request that ends its servers is refused after the third
    Then a crash soak of 8 processes, 9 seconds and seed 1 breaks no promise
    And a crash soak of 8 processes, 9 seconds and seed 2 whose servers keep their ids breaks no promise
    And a crash soak of 8 processes, 9 seconds and seed 3 with "start_vm" breaks no promise

  # Each prompt had its own body, so that each was a new request with one crash.
  Scenario: prompts that share one part crash server after server
    Then a part soak of 8 processes, 16 seconds, seed 1 and form "first" keeps its promises and goals
    And a part soak of 8 processes, 16 seconds, seed 2 and form "fresh" keeps its promises and goals
