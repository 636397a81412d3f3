Feature: what callers lost is summed up from decision lines

  Scenario Outline: what one line says was lost: <line>
    Then the line "<line>" is read as "<found>"

    Examples:
      | line                                                 | found               |
      | answered first_ms=90 target_ms=100                   | nothing             |
      | answered first_ms=101 target_ms=100                  | late by late: first byte |
      | answered first_ms=90 target_ms=100 pause_ms=300 target_pause_ms=300 | nothing |
      | answered first_ms=90 target_ms=100 pause_ms=301 target_pause_ms=300 | late by late: pause |
      | answered first_ms=101 target_ms=100 pause_ms=301 target_pause_ms=300 | late by late: first byte and pause |
      | answered pause_ms=301                                | nothing             |
      | answered target_pause_ms=300                         | nothing             |
      | answered first_ms=101                                | nothing             |
      | given_up runs=0 status=503 rule=no_server            | refused by no_server |
      | given_up runs=1 status=502 rule=not_repeatable       | lost by not_repeatable |
      | given_up runs=1 status=500 rule=attempts_spent       | lost by attempts_spent |
      | given_up runs=1 status=200 rule=answer_started       | lost by answer_started |
      | attempt_failed end=rejected rule=send                | nothing             |
      | attempt_failed end=caller_left                       | left by caller left |
      | denied status=401 reason=unknown_key                 | refused by denied: unknown_key |
      | refused status=431 reason=head                       | refused by refused: head |
      | server_gone server=s1                                | nothing             |

  Scenario Outline: a line that is none is named: <text>
    Then the text <text> is no line, since "<reason>"

    Examples:
      | text                                     | reason                     |
      | noise                                    | not JSON                   |
      | [1]                                      | not an object              |
      | {"time":1}                               | neither "event" nor "level" |
      | {"event":"given_up","time":1,"runs":"x"} | 'runs' of 'given_up' is not a number |
      | {"event":"denied"}                       | 'time' of 'denied' is not a number |

  Scenario: lines of a process's own log are passed over
    Then the text {"level":"info","message":"x"} counts as nothing

  Scenario: a day of lines takes no more memory than an hour
    Then 9000 losses of as many servers and seconds keep at most 2001 keys of each kind

  Scenario: the command reads files and standard input
    Given a file with 3 losses of 2 rules and a line that is none
    When "ramppin losses" reads it as a file by rule and vm
    Then it prints the rules with their counts and an example, and names the bad line
    When "ramppin losses" reads it from standard input by rule
    Then it prints the rules with their counts and an example, and names the bad line

  Scenario: a file that is not there is named
    When "ramppin losses" reads a file that is not there
    Then the command ends with 1 and names the file

  Scenario: each request that a gateway loses is one loss, with its rule
    Given a gateway whose requests are lost in several ways
    Then its lines give these losses
      | rule           | loss    | count |
      | not_repeatable | lost    | 2     |
      | attempts_spent | lost    | 1     |
      | budget_spent   | refused | 1     |
      | timed_out      | lost    | 1     |
