Feature: what only ramppin sets is never taken from a caller

  Background:
    Given a gateway before a plain and a model server that refuses orders

  Scenario Outline: a caller's own <field>, <how>, reaches no server of <route>
    When through the gateway a caller sets for "<route>" the "<field>" <how>
    Then the answer is 200 and whole
    And one server got the request, without the caller's "<field>"

    Examples:
      | field           | route    | how                  |
      | api_key         | /open/   | once                 |
      | customer        | /once/   | once                 |
      | server          | /once/   | in capitals          |
      | priority        | /once/   | once                 |
      | priority        | /stream/ | twice                |
      | copy_from       | /stream/ | once                 |
      | copy_from       | /again/  | behind the body      |
      | reservation     | /stream/ | once                 |
      | reservation     | /once/   | in capitals          |
      | reservation     | /stream/ | twice                |
      | pin_ms          | /stream/ | listed in Connection |
      | pin_ms          | /again/  | once                 |
      | backup_to       | /resume/ | in capitals          |
      | backup_to       | /once/   | twice                |
      | resume_from     | /resume/ | once                 |
      | resume_from     | /stream/ | listed in Connection |
      | resume_from     | /stream/ | behind the body      |
      | weights_version | /stream/ | once                 |

  Scenario Outline: what a caller tells arrives even if Connection lists it: <field>
    When through the gateway a caller sets for "/stream/" the "<field>" listed in Connection
    Then the answer is 200 and whole
    And one server got the request, with the caller's "<field>"

    Examples:
      | field         |
      | request_id    |
      | prompt_parts  |
      | model         |
      | request_size   |
      | last_event_id |

  Scenario Outline: what concerns one connection does not travel on: <how>
    When through the gateway a caller lists a header of its own in "<how>"
    Then the answer is 200 and whole
    And one server got the request, without that header

    Examples:
      | how                    |
      | Connection             |
      | the second Connection  |
