Feature: what a server says of itself in its answers is read

  Scenario Outline: a rest of <seconds> s from "<value>", status <status>
    Then an answer <status> with "Retry-After: <value>" asks for a rest of <seconds> s

    Examples:
      | status | value                         | seconds  |
      | 503    | 3                             | 3        |
      | 503    | 0.25                          | 0.25     |
      | 503    | .5                            | 0.5      |
      | 503    | 2.                            | 2        |
      | 503    | 0                             | 0        |
      | 503    | 1000000000                    | 31536000 |
      | 429    | 2                             | 2        |
      | 200    | 3                             | 0        |
      | 500    | 3                             | 0        |
      | 301    | 3                             | 0        |
      | 421    | 3                             | 0        |
      | 503    | Sun, 06 Nov 1994 08:49:37 GMT | 10       |
      | 503    | Sunday, 06-Nov-94 08:49:37 GMT | 10      |
      | 503    | Sun Nov  6 08:49:37 1994      | 10       |
      | 503    | Sun, 06 Nov 1994 08:49:20 GMT | 0        |

  Scenario Outline: "<value>" is no time and asks for no rest
    Then an answer 503 with "Retry-After: <value>" asks for no rest that can be read

    Examples:
      | value      |
      | -1         |
      | 1e9        |
      | soon       |
      | inf        |
      | nan        |
      | 3, 4       |
      | 3 s        |
      | 0x10       |
      | ٣          |
      | Sun, 99 Nov 1994 08:49:37 GMT |
      | Sun, 06 Nov 999999999999999999999 08:49:37 GMT |
      | Sun, 06 Nov 1994 08:49:37 +99999999999999 |

  Scenario Outline: of several times of rest the longest holds: <values>
    Then an answer 503 with the times of rest "<values>" asks for a rest of <seconds> s

    Examples:
      | values  | seconds |
      | 1 4     | 4       |
      | 4 1     | 4       |
      | soon 2  | 2       |
      | 2 soon  | 2       |

  Scenario: a date counts from the answer's own date, whatever the clock here shows
    Then a rest until 10 s after the answer's date lasts 10 s by a clock an hour off

  Scenario Outline: a server leaves if it says <value> with status <status>: <leaves>
    Then an answer <status> with the word of leaving "<value>" says that it leaves: <leaves>

    Examples:
      | status | value | leaves |
      | 200    | 1     | yes    |
      | 404    | 1     | yes    |
      | 500    | 1     | yes    |
      | 503    | 1     | yes    |
      | 421    | 1     | no     |
      | 200    | 0     | no     |
      | 200    | true  | no     |
      | 200    |       | no     |

  Scenario Outline: a word was lost, or outlasted its start: <what>
    Then after the entries "<entries>" the server leaves: <leaves>

    # Entries: said tells the word; a number is a start, in s before or after the word;
    # ? tells no start; gone is an entry that vanished.
    Examples:
      | what                               | entries               | leaves |
      | its entry came again               | -60 said -60          | yes    |
      | its entry vanished                 | -60 said gone -60     | yes    |
      | twice                              | -60 said gone -60 gone -60 | yes |
      | no start was ever told             | ? said gone ?         | yes    |
      | the start was told later           | ? said -60            | yes    |
      | the start was told later, after a gap | ? said gone -60    | yes    |
      | a later start, none told before    | ? said 5              | no     |
      | a later start after a gap          | ? said gone 5         | no     |
      | a later start                      | -60 said 5            | no     |
      | a later start whose entry vanished | -60 said 5 gone 5     | no     |
      | the earlier start's entry again    | -60 said 5 -60        | no     |
      | said before any entry              | said -60              | yes    |

  Scenario Outline: a server that asked for rest is closed as long as it asked: <words>
    Then with the rests "<words>" a server is closed for <left> s more, then opens

    # A number asks for so many seconds; @ is seconds that pass.
    Examples:
      | words         | left |
      | 3             | 3    |
      | 0.25          | 0.25 |
      | 3 @1          | 2    |
      | 3 @1 1        | 2    |
      | 3 @1 5        | 5    |
      | 3 @1 2.005    | 2.005 |
      | 1 @1          | 0    |
      | 1 @1.5 2      | 2    |
      | 3 @3          | 0    |

  Scenario Outline: callers came back while every server was closed: <closed> s, <left> s left
    Then with every server closed for <closed> s, <left> s left, rank <rank> and the point <point> a refused request comes back after <pause> s

    Examples:
      | closed | left | rank | point | pause |
      | 1      | 9    | 0    | 0     | 1     |
      | 1      | 9    | 0    | 0.5   | 1.25  |
      | 1      | 9    | 2    | 0.5   | 1.75  |
      | 1      | 1.3  | 3    | 0.9   | 1.1   |
      | 3      | 2    | 0    | 0.5   | 3     |
      | 0.02   | 9    | 0    | 0.5   | 0.045 |

  Scenario Outline: tries of a request: <tries>, <away> of them turned away
    Then after <tries> tries, <away> of them turned away, one more is allowed: <allowed>

    Examples:
      | tries | away | allowed |
      | 3     | 0    | yes     |
      | 4     | 0    | no      |
      | 4     | 1    | yes     |
      | 7     | 7    | yes     |
      | 8     | 8    | no      |
      | 10    | 7    | yes     |
      | 11    | 7    | no      |

  Scenario: words of servers that are gone do not pile up
    Then 5000 starts that said a word and are gone take a bounded memory
