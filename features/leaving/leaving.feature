Feature: A backend server that is leaving receives no new work after a few seconds

  Scenario Outline: <what> leaves under load, <view>
    Given a deployment of 4 routers before 5 engines and 3 plain servers
    And 16 chat callers and 3 booking callers, seed 41
    When <what> is listed as leaving, <view>
    And the fleet serves again
    And the fleet serves again
    Then the history keeps the promises "bound, whole, not-run, once, leaving"
    And the last start on <what> came within 4 seconds

    Examples:
      | what     | view                               |
      | engine-2 | seen alike                         |
      | engine-2 | seen 2 seconds later by two VMs    |
      | server-1 | while its entry flaps              |
