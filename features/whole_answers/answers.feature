Feature: Every caller gets the whole answer to its own request, and only that

  Scenario: Many callers at once get their own answers
    Given a fleet of 3 routers before 3 engines and 2 plain servers
    When 60 callers chat at once through all VMs
    Then each got the whole answer to its own request

  Scenario Outline: An engine breaks off: <kind>
    Given a fleet of 2 routers before 1 engines and 1 plain servers
    When the engine breaks its answers off after <parts> parts
    And a caller asks for a chat, <kind>
    Then the caller gets <what>

    Examples:
      | kind         | parts | what                                     |
      | streamed     | 6     | the whole answer, resumed by the router  |
      | not streamed | 1     | a refusal that says unknown              |

  Scenario: An engine that is gone for good breaks the stream openly
    Given a fleet of 2 routers before 1 engines and 1 plain servers
    When a caller's stream is underway and the engine is gone
    Then the stream ends with an error event, not as if whole

  Scenario: A VM is killed midway and the caller resumes through another
    Given a deployment of 3 routers before 2 engines and 1 plain servers
    When a caller's stream of 60 tokens through vm-1 is cut as vm-1 is killed
    And the caller resumes through vm-2
    Then the joined answer equals the whole, byte for byte

  Scenario: Nobody resumes another customer's stream
    Given a fleet of 2 routers before 1 engines and 1 plain servers
    When another customer resumes a caller's stream
    Then it is refused with "stream_not_found"

  Scenario: A plain service's answer that breaks off is not ended as if whole
    Given a fleet of 2 routers before 1 engines and 1 plain servers
    When the plain server breaks its answers off
    And a caller fetches the list of halls
    Then the caller sees that the answer is broken

  Scenario: A plain service's answer without a length that breaks off is not ended as if whole
    Given a fleet of 2 routers before 1 engines and 1 plain servers
    When the plain server breaks answers without a length off
    And a caller fetches the list of halls
    Then the caller sees that the answer is broken

  # Guards against an answer that is called complete although nothing shows its end, and
  # against whole answers that are called unknown.
  Scenario Outline: An answer's outcome is unknown only if nothing shows its end: <answer>, <how>
    Given a fleet of 2 routers before 1 engines and 1 plain servers
    When a plain server answers <answer>, <how>
    Then the answer's outcome is "<outcome>"

    Examples:
      | answer                              | how           | outcome |
      | with a length                       | without a key | ran     |
      | with a length                       | with a key    | ran     |
      | without a length and breaks off     | without a key | unknown |
      | without a length and breaks off     | with a key    | unknown |

  Scenario Outline: A header that comes repeated is handed on whole, <how>
    Given a fleet of 2 routers before 1 engines and 1 plain servers
    When a plain server's answer sets two cookies, <how>
    Then the caller gets both cookies

    Examples:
      | how           |
      | without a key |
      | with a key    |
