Feature: an answer ends for its caller as it ended at its server

  Background:
    Given VMs "vm-1 vm-2" before 2 servers of "plain" and 2 of "model"

  Scenario: an answer that broke off as its connection closed never reaches a caller as complete
    When servers end these answers with their connection
      | route    | answer                   | end     | caller   | gets             | holds            |
      | /once/   | whole                    | close   | HTTP/1.1 | 200, until close | whole            |
      | /once/   | broken off               | close   | HTTP/1.1 | 200, until close | broken off       |
      | /once/   | broken off               | close   | HTTP/1.0 | 200, until close | broken off       |
      | /once/   | broken off               | reset   | HTTP/1.1 | 502, framed      | nothing          |
      | /once/   | large, broken off        | close   | HTTP/1.1 | 200, until close | large, broken off |
      | /once/   | large, broken off        | reset   | HTTP/1.1 | 200, broken      | any              |
      | /once/   | large, broken off        | reset   | HTTP/1.0 | 200, broken      | any              |
      | /again/  | whole                    | close   | HTTP/1.1 | 200, until close | whole            |
      | /again/  | broken off               | close   | HTTP/1.1 | 200, until close | broken off       |
      | /stream/ | events                   | close   | HTTP/1.1 | 200, until close | events           |
      | /stream/ | CRLF events              | close   | HTTP/1.1 | 200, until close | CRLF events      |
      | /stream/ | CR events                | close   | HTTP/1.1 | 200, until close | CR events        |
      | /stream/ | inside an event          | close   | HTTP/1.1 | 200, broken      | two events       |
      | /stream/ | inside an event          | close   | HTTP/1.0 | 200, broken      | two events       |
      | /stream/ | inside an event          | reset   | HTTP/1.1 | 200, broken      | any              |
      | /stream/ | one newline short        | close   | HTTP/1.1 | 200, broken      | two events       |
      | /stream/ | inside a CRLF event      | close   | HTTP/1.1 | 200, broken      | a CRLF event     |
      | /stream/ | inside a CR event        | close   | HTTP/1.1 | 200, broken      | a CR event       |
      | /stream/ | inside a comment         | close   | HTTP/1.1 | 200, broken      | two events       |
      | /stream/ | inside its first event   | close   | HTTP/1.1 | 502, framed      | nothing          |
      | /stream/ | inside its first event   | close   | HTTP/1.0 | 502, framed      | nothing          |
      | /stream/ | no event                 | close   | HTTP/1.1 | 502, framed      | nothing          |
      | /resume/ | events                   | close   | HTTP/1.1 | 200, until close | events           |
      | /resume/ | inside an event          | close   | HTTP/1.1 | 200, until close | events           |
      | /resume/ | inside its first event   | close   | HTTP/1.1 | 200, framed      | events           |
      | /resume/ | no event                 | close   | HTTP/1.1 | 200, framed      | events           |
    Then each caller gets what the row says, directly and through another VM

  Scenario: a VM that dies while it forwards such an answer is no end of it
    Given "vm-1" is cut off from all servers
    When the VM that forwards an answer without length to "/stream/" dies after two events
    Then its caller gets "200, broken"

  Scenario Outline: what continues a stream ends it only if it is the rest of it: <rest>
    When a stream to "/resume/" breaks off after two events and goes on with "<rest>"
    Then its caller gets "200, broken"
    And the events are "<events>"

    Examples:
      | rest                        | events  |
      | the rest, without chunks    | 1 2 3 4 |
      | JSON, with a length         | 1 2     |

  Scenario: an error without length ends with its connection
    When the server of a request to "/once/" fails with 500 and an error without length
    Then its caller gets "500, until close"

  Scenario Outline: a server that terminates as its answer ends counts against the request: <route>, <answer>
    When the server of a request to "<route>" terminates after "<answer>"
    Then its caller gets "<gets>"
    And 1 server counts as terminated under the request

    Examples:
      | route    | answer            | gets             |
      | /once/   | broken off        | 200, until close |
      | /once/   | large, broken off | 200, until close |
      | /stream/ | two events        | 200, until close |
      | /stream/ | inside an event   | 200, broken      |

  Scenario: a repeatable request whose server terminates as its answer ends is served by another
    When the server of a request to "/again/" terminates after "broken off"
    Then its caller gets "200, framed"
    And the body is "answer"

  Scenario Outline: a server that goes on after its answer ended counts against no request: <route>
    When the server of a request to "<route>" goes on after "whole"
    Then its caller gets "200, until close"
    And no server counts as terminated under the request, nor is one suspected

    Examples:
      | route   |
      | /once/  |
      | /again/ |

  Scenario: answers of every framing, cut anywhere and read in any pieces
    Then generated answers, cut anywhere, end for their callers as they ended

  Scenario: an answer that broke off within its head never reaches a caller as a success
    When servers break off within the head of every answer, after each kind of informational one
    Then no caller got a 200, directly and through another VM
