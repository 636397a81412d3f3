Feature: the gateway as a program of its own, with tables in a file

  Scenario: a request, a change of the file, and a planned stop
    Given the gateway program with tables in a file before one plain server
    When its file moves the route "/old/" to "/new/"
    Then the program soon serves "/new/" and no longer "/old/"
    When the file becomes unreadable
    Then the program still serves "/new/"
    When the program gets SIGTERM
    Then it exits with 0 within its drain time

  Scenario Outline: bad settings are refused with their place: <what>
    When the gateway program starts with settings that have <what>
    Then it exits with 2 and says "<text>"

    Examples:
      | what             | text              |
      | no file          | No such file      |
      | an unknown field | unknown key       |
      | a port too large | caller_port       |
      | no tables        | tables            |
