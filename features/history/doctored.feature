Feature: The checker rejects each history that breaks a promise

  Scenario Outline: A doctored history: <what>
    Given a history that keeps every promise
    When it is doctored: <what>
    Then the check of "<promise>" finds a violation
    And the check of "<promise>" finds none in the history as it was

    Examples:
      | promise  | what                                      |
      | bound    | a server starts one more than it may hold |
      | whole    | a caller gets another caller's answer     |
      | whole    | a broken answer ends as if whole          |
      | not-run  | a request that ran is called not-run      |
      | once     | a key runs twice                          |
      | once     | a key has two answers                     |
      | leaving  | a leaving server starts a request late    |
      | stop     | a request is cut                          |
      | settings | a VM goes back a version                  |
      | settings | a VM is late with a version               |
      | settings | an operator is told wrongly               |
