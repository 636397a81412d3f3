Feature: The official OpenAI client works unchanged

  Background:
    Given a fleet of 2 routers before 3 engines and 2 plain servers

  Scenario Outline: A chat through any VM, <mode>
    When the OpenAI client asks for a chat through <vm>, <mode>
    Then it gets the whole answer of 12 tokens

    Examples:
      | vm   | mode         |
      | vm-1 | streamed     |
      | vm-2 | streamed     |
      | vm-1 | not streamed |
      | vm-2 | not streamed |

  Scenario: The models are listed
    When the OpenAI client lists the models through vm-1
    Then it gets the models "m"

  Scenario Outline: A refusal is immediate and typed: <why>
    When the OpenAI client is refused because of <why>
    Then it raises <error> with code "<code>"

    Examples:
      | why           | error               | code            |
      | a wrong key   | AuthenticationError | invalid_api_key |
      | no such model | NotFoundError       | model_not_found |
      | no messages   | BadRequestError     | bad_request     |

  Scenario: A stream cancelled midway ends at the engine too
    When the OpenAI client cancels a stream of 2000 tokens midway
    Then the engine is told to cancel it
    And no place is held any more
