Feature: Whole sessions are as in their golden files

  Scenario Outline: <session>
    Given a fleet of 2 routers before 3 engines and 2 plain servers
    When the session is played: <session>
    Then it is as in the golden file <file>

    Examples:
      | session                               | file    |
      | a chat that returns                   | chat    |
      | a booking repeated through another VM | booking |
      | a settings race                       | race    |
      | a drain                               | drain   |
      | an explanation through another VM     | explain |
