Feature: streams stay at one build where all VMs are lost around a change of builds, real processes

  Scenario: no stream goes on at another build after all VMs were lost
    Then soaks with 6 processes break no promise:
      | form               | seed |
      | one_build          | 1    |
      | both_builds        | 2    |
      | after_change       | 3    |
      | staggered          | 4    |
      | killed_twice       | 5    |
      | changed_while_down | 6    |
      | appends_refused    | 7    |
      | read_late          | 8    |
      | one_left           | 9    |
      | half_suspended     | 10   |
      | new_build          | 11   |
      | both_builds_staggered | 12 |
      | both_builds_twice  | 13   |
      | both_builds_one_left | 14 |
      | added_while_down   | 15   |
      | added_after_loss   | 16   |
      | one_late_view      | 17   |
      | one_refused        | 18   |
      | one_silent         | 19   |
