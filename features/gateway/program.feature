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

  Scenario Outline: a killed gateway ends an answer without a length as if it were whole: <protocol>
    Given the gateway program with tables in a file before one plain server
    And its server sends half of an answer of <size> kB without a length, and waits
    When a caller of <protocol> has that half, and the program is killed
    Then the caller's connection is reset

    Examples:
      | protocol | size |
      | HTTP/1.1 | 800  |
      | HTTP/1.0 | 800  |

  Scenario Outline: an answer without a length ends in order: <how>
    Given the gateway program with tables in a file before one plain server
    And its server sends an answer of <size> kB without a length
    When a caller that reads nothing for <pause> s reads it then
    Then the caller has the whole answer, and its connection ended in order

    Examples:
      | how                           | size | pause |
      | a caller that reads at once   | 800  | 0     |
      | a caller that is slow to read | 8000 | 3     |
