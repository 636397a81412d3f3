Feature: the longest pause of a stream is measured as its caller receives it

  Guards against late answers without a recorded cause, and against pauses that are
  attributed to a server while the caller itself did not read.

  Scenario Outline: the longest pause: <what>
    Then a stream with "<steps>" has the longest pause "<pause>"

    Examples:
      | what                                          | steps                                                  | pause |
      | no piece                                      |                                                        | none  |
      | one piece: its wait is the first byte's       | 3.0 piece                                              | none  |
      | the longest of several                        | 0.0 piece, 0.1 piece, 0.5 piece, 0.6 piece             | 400   |
      | a caller that stops reading                   | 0.0 piece, 0.1 piece, 0.1 hold, 0.9 resume, 1.0 piece  | 100   |
      | after it reads again                          | 0.0 piece, 0.0 hold, 0.5 resume, 0.8 piece             | 300   |
      | a piece while the caller does not read        | 0.0 piece, 0.0 hold, 0.7 piece, 0.8 resume, 0.9 piece  | 100   |
      | part of an event is no piece                  | 0.0 piece, 0.2 part, 0.5 piece                         | 500   |
      | the change to another server                  | 0.0 piece, 0.1 piece, 0.2 server, 0.6 piece            | 500   |
      | held while the server changes                 | 0.0 piece, 0.1 hold, 0.2 server, 0.6 resume, 0.7 piece | 100   |

  Scenario Outline: an answer that is no stream has no pause
    Then an answer of a <kind> route in two pieces 0.5 s apart has the longest pause "<pause>"

    Examples:
      | kind   | pause |
      | stream | 500   |
      | plain  | none  |

  Scenario Outline: the target of a route: <settings>
    Then a route with "<settings>" in <format> has the target pause "<target>"

    Examples:
      | format   | settings                 | target |
      | ramppin  |                          | none   |
      | ramppin  | "target_pause_s": 0.3    | 300    |
      | ramppin  | "target_pause_s": 0      | refused |
      | ramppin  | "target_pause_s": "0.3"  | refused |
      | platform |                          | none   |
      | platform | "target_itl_ms": 300     | 300    |
      | platform | "target_itl_ms": 0       | none   |
      | platform | "target_itl_ms": "300"   | refused |

  Scenario: the line of an answered stream has its longest pause and the route's target
    Given a gateway with a target pause of 0.2 s before a server that pauses for 0.35 s
    When a caller reads a stream of it to its end
    Then the line answered has a pause of at least 300 ms and the target 200
    And "ramppin losses" counts it as "late: pause"
