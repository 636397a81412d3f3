Feature: callers that come while the program starts are served

  Scenario Outline: what the settings file says of the callers' address: <what>
    Then with a settings file that has "<what>" a socket listens: <listens>

    Examples:
      | what              | listens |
      | an address        | yes     |
      | no file           | no      |
      | no address        | no      |
      | an empty address  | no      |
      | no port           | no      |
      | a port too high   | no      |
      | a foreign address | no      |
      | no text           | no      |

  Scenario: a process that got SIGHUP while it started ended
    When a gateway process gets SIGHUP as soon as its callers' port is open
    Then it starts, and ends with exit code 0 on SIGTERM

  Scenario: a change of the settings file while a process started was lost
    Given a settings file that changes after it was read, before its watch begins
    Then the watch reports the change

  Scenario: a caller that came before the gateway ran is answered
    Given a callers' socket that listens before its gateway
    When a caller connects and sends a request
    And the gateway starts on that socket
    Then the caller is answered 200
