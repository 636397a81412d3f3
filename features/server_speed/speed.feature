Feature: the speed of a server is known from its load reports and its answers

  Guards against prompts that are sent to servers that are slow at the moment, and
  against figures that are trusted although they are out of date or malformed.

  Scenario Outline: a reported figure <age> s later
    Then a figure of <figure> counts as <slowness> after <age> s

    Examples:
      | figure | age  | slowness |
      | 250    | 0    | 2.5      |
      | 250    | 0.3  | 2.5      |
      | 250    | 0.45 | 1.75     |
      | 250    | 0.6  | 1        |
      | 250    | 60   | 1        |
      | 50     | 0.3  | 0.5      |
      | 50     | 0.45 | 0.75     |

  Scenario Outline: the load report "<report>"
    When a server answers with the load report "<report>"
    Then it counts as <slowness> and a load of <load>, with <warnings> warnings

    Examples:
      | report        | slowness | load | warnings |
      | 5,1,8,250     | 2.5      | 6    | 0        |
      | 5,1,8,100     | 1        | 6    | 0        |
      | 5,1,8,10      | 0.1      | 6    | 0        |
      | 5,1,8,10000   | 100      | 6    | 0        |
      | 5,1,8,250,9   | 2.5      | 6    | 0        |
      | 5,1,8         | 1        | 6    | 0        |
      | 5,1,8,        | 1        | 6    | 1        |
      | 5,1,8,9       | 1        | 6    | 1        |
      | 5,1,8,10001   | 1        | 6    | 1        |
      | 5,1,8,-250    | 1        | 6    | 1        |
      | 5,1,8,2.5     | 1        | 6    | 1        |
      | 5,1,8,fast    | 1        | 6    | 1        |
      | 5,1,8,9999999999999999999999 | 1 | 6 | 1     |
      | x,1,8,250     | 1        | 0    | 1        |

  Scenario: a figure of 5000 digits is ignored like any other malformed one
    When a server answers with a load report whose figure has 5000 digits
    Then it counts as 1 and a load of 6, with 1 warnings

  Scenario: malformed figures do not fill the log
    Then 500 malformed figures in a second leave at most 20 lines

  Scenario Outline: a server that takes <ratio> times as long as 3 others is known by <what>
    Then after 200 <what> each its average is <low> to <high> and that of the others at most 1.1

    Examples:
      | ratio | what   | low  | high |
      | 1.3   | waits  | 1.15 | 1.3  |
      | 1.3   | pauses | 1.15 | 1.3  |
      | 3     | waits  | 1.6  | 3    |

  Scenario: one long wait does not make a server slow
    Then after 200 usual waits one that is 100 times as long leaves the average at 0.95 to 1.15

  Scenario: a home of longer prompts does not seem slow
    Then after 200 waits of 100 ms for 1500 tokens at one server and of 10 ms for 100 tokens at 3 its average is 0.95 to 1.05

  Scenario Outline: answers that do not show the speed: <what>
    Then 100 answers that take 3 times as long leave the average at <average>: <what>

    Examples:
      | what                                     | average |
      | usual prompts                            | 1.6 to 2.4 |
      | a stream after its caller paused reading | 1.6 to 2.4 |
      | prompts of 2001 own tokens               | 1       |
      | prompts whose prefix was not cached      | 1       |
      | prompts without parts of 2001 tokens     | 1       |
      | parts without numbers                    | 1       |
      | a cold server                            | 1       |
      | a stall of this VM                       | 1       |
      | rejections                               | 1       |
      | no figure was ever reported              | 1       |

  Scenario: a figure that arrives while this VM catches up after a stall is not used
    Then a figure of 250 that is received 0.05 s after a stall of 0.5 s counts as 1
    And a peer's figure of 250 that is received 0.05 s after a stall of 0.5 s counts as 1
    And a figure of 250 that is received 0.15 s after a stall of 0.5 s counts as 2.5

  Scenario Outline: a peer's figure: <what>
    Then after an own figure "<own>" and a peer's of <percent> that is <age> ms old a server counts as <slowness>

    Examples:
      | what                      | own | percent | age  | slowness |
      | the first                 |     | 250     | 100  | 2.5      |
      | with the age of its report |    | 250     | 450  | 1.75     |
      | newer than this VM's own  | 100@200 | 250 | 100  | 2.5      |
      | older than this VM's own  | 100@100 | 250 | 200  | 1        |
      | usual speed again         | 250@200 | 100 | 100  | 1        |
      | too low                   | 150@200 | 9   | 100  | 1.5      |
      | too high                  | 150@200 | 10001 | 100 | 1.5     |
      | no figure at any time     |     | 100     | 100  | 1        |

  Scenario: loads of peers at the usual speed do not enable the rules on speed
    Then a peer's figure of 100 leaves the view without speeds, and one of 101 does not

  Scenario: a report is sent to peers with its figure
    Then a report of 5 requests with the figure 250 is sent as 5 and 250
    And a report of 5 requests without a figure is sent as 5 and 100

  Scenario Outline: the bytes of a load in a datagram: figure <figure>
    Then a load with the figure <figure> takes <elements> elements, and an older build reads it

    Examples:
      | figure | elements |
      | 100    | 3        |
      | 250    | 4        |
      | 99     | 4        |

  Scenario: a datagram of an older build has loads at the usual speed
    Then a load of 3 elements is read with the figure 100
