Feature: streams are whole, or never look whole

  Background:
    Given a gateway before two model servers

  Scenario Outline: <what>
    Given backend servers that answer by "<script>"
    When through the gateway a caller sends a request to "<route>"
    Then the answer is 200 and <whole>
    And the events are "<events>"
    And at most <runs> requests were received

    Examples:
      | what                                  | script              | route    | whole  | events  | runs |
      | a whole stream                        | events              | /stream/ | whole  | 1 2 3 4 | 1    |
      | a broken stream is cut                | two events, reset   | /stream/ | broken | 1 2     | 1    |
      | a broken one that ends well is cut    | two events, closed  | /stream/ | broken | 1 2     | 1    |
      | a resumable one goes on elsewhere     | two events, reset   | /resume/ | whole  | 1 2 3 4 | 2    |
      | a silent one goes on elsewhere        | two events, silent  | /resume/ | whole  | 1 2 3 4 | 2    |
      | broken in the middle of an event      | half event, reset   | /resume/ | whole  | 1 2 3 4 | 2    |
      | events cut across pieces              | pieces              | /resume/ | whole  | 1 2 3 4 | 1    |
      | an end in the middle of an event      | half event, ended   | /resume/ | whole  | 1 2 3 4 | 2    |

  Scenario: one that breaks before its first event is answered at once
    Given backend servers that answer by "reset"
    When through the gateway a caller sends a request to "/resume/"
    Then the answer is 502 and whole
    And at most 2 requests were received

  Scenario: a stream that no other server can take up is cut, never answered anew
    Given backend servers that answer by "two events, reset"
    And a server "m2" that is announced and does not listen
    When through the gateway a caller sends 12 requests to "/resume/", one by one
    Then each that began is cut after the events "1 2", whichever server came first

  Scenario: events go on as they come
    Given backend servers that answer by "events on demand"
    When a caller begins a stream on "/stream/"
    Then each event arrives before the next is made

  Scenario: the next server gets the id of the last whole event
    Given backend servers that answer by "half event, reset"
    When through the gateway a caller sends a request to "/resume/"
    Then the second request asked to continue after "2"

  Scenario: a caller that does not read holds the server up
    Given backend servers that answer by "endless"
    When a caller begins a stream on "/stream/" and does not read
    Then the backend server is paused, with less than 400000 bytes in the gateway
