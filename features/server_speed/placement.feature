Feature: requests are placed by the time that work takes at a server

  Guards against slow servers that get as much as quick ones, and against long uncached
  prompts that stop the streams at a server that is slow now or processes another one.
  The servers are in the order of the prompt's prefix.

  Scenario Outline: a prompt with a home: <what>
    Then with loads "<loads>", figures "<figures>" and home "<home>" a prompt goes to "<chosen>"

    Examples:
      | what                                   | loads     | figures         | home  | chosen |
      | without figures                        | 8 6 6 6   | - - - -         | first | first  |
      | all at the usual speed                 | 8 6 6 6   | 100 100 100 100 | first | first  |
      | a slow home that holds much            | 8 6 6 6   | 250 100 100 100 | first | second |
      | a slow home that holds little          | 3 6 6 6   | 250 100 100 100 | first | first  |
      | all equally slow                       | 8 6 6 6   | 250 250 250 250 | first | first  |
      | all equally slow, the home at the bound | 20 8 2 2 | 200 200 200 200 | first | second |
      | no home, all equally slow              | 6 5 5 5   | 250 250 250 250 | none  | first  |
      | the next one is slow                   | 20 9 6 6  | 100 300 100 100 | first | third  |
      | a quick home above the bound           | 14 6 6 6  | 20 100 100 100  | first | second |
      | no home: a quick second of equal load  | 6 6 6 6   | 160 80 100 100  | none  | second |
      | no home and no figures                 | 6 6 6 6   | - - - -         | none  | first  |

  Scenario: a slow home below the bound precedes quick servers at the bound
    Then with loads "4 9 9 9", figures "600 100 100 100", home "second" and a bound of 7 a prompt goes to "first"
    And with loads "4 5 9 9", figures "900 900 100 100", home "second" and a bound of 7 a prompt goes to "second"

  Scenario: the guarantee of the load bound holds with any figures
    Then in 3000 draws of loads and figures no prompt goes to a server at the bound while an eligible one is below

  Scenario Outline: requests without a prefix: <what>
    Then with own requests "<own>" and figures "<figures>" requests without a prefix go in shares <shares>

    Examples:
      | what                       | own   | figures     | shares        |
      | no figures                 | 0 0 0 | - - -       | 0.33 0.33 0.33 |
      | by speed where all are idle | 0 0 0 | 100 100 200 | 0.4 0.4 0.2   |
      | by requests and speed      | 2 2 1 | 100 100 150 | 0 0 1         |
      | a slow one with as many    | 2 2 2 | 100 100 150 | 0.5 0.5 0     |
      | two at a slow one are more | 3 3 2 | 100 100 160 | 0.5 0.5 0     |

  Scenario: a permanently slower third of the servers gets a share according to its speed
    Given 12 servers of which 4 take 2 times as long, and 6 VMs
    When prompts of 300 prefixes arrive for 20 s at 0.8 of the throughput
    Then a slow server gets 0.35 to 0.55 of the prompts of a quick one
    And no prompt reached a server at over 2 times the mean and 3
    And the mean time of an answer is at most 0.42 s

  Scenario: a server that turns slow for half a second is passed over for that time
    Given a home with 8 requests beside 3 servers with 6
    Then prompts go, as its figures come, to these servers
      | at   | figure | chosen |
      | 0    | 100    | home   |
      | 0.1  | 250    | other  |
      | 0.35 | -      | other  |
      | 0.6  | -      | home   |
      | 0.7  | 250    | other  |
      | 0.9  | 100    | home   |
    And the home is the same as before

  Scenario Outline: a long prompt: <what>
    Then with figures "<figures>", loads "<loads>", home "<home>" and long prompts "<started>" a prompt of <shared>+<own> tokens goes to "<chosen>", copied from "<source>"

    Examples:
      | what                                  | figures         | loads     | home  | started  | shared | own  | chosen | source |
      | its home is quick                     | 149 100 100 100 | 1 1 1 1   | first | -        | 10000  | 2001 | first  | none   |
      | its home is slow now                  | 150 100 100 100 | 1 1 1 1   | first | -        | 10000  | 2001 | second | first  |
      | a short own part is processed at home | 150 100 100 100 | 1 1 1 1   | first | -        | 10000  | 2000 | first  | none   |
      | the next one is slow too              | 200 200 100 100 | 1 1 1 1   | first | -        | 10000  | 2001 | third  | first  |
      | all are slow                          | 200 200 200 200 | 1 1 1 1   | first | -        | 10000  | 2001 | first  | none   |
      | quick ones are at the bound           | 200 200 100 100 | 1 1 9 9   | first | -        | 10000  | 2001 | first  | none   |
      | no home: all of it is uncached        | 200 100 100 100 | 1 1 1 1   | none  | -        | 1900   | 101  | second | none   |
      | no home and short                     | 200 100 100 100 | 1 1 1 1   | none  | -        | 1900   | 100  | first  | none   |
      | another one just before               | 100 100 100 100 | 1 1 1 1   | first | first:0.29 | 10000 | 2001 | second | first  |
      | another one some time ago             | 100 100 100 100 | 1 1 1 1   | first | first:0.31 | 10000 | 2001 | first  | none   |
      | a prefix that a peer just placed      | 100 100 100 100 | 1 1 1 1   | none  | first:peer:0.29 | 10000 | 1300 | second | none |
      | one that a peer placed some time ago  | 100 100 100 100 | 1 1 1 1   | none  | first:peer:0.31 | 10000 | 1300 | first | none |
      | one each, and the last is slow        | 100 100 100 200 | 1 1 1 1   | first | first:0.1 second:0.1 third:0.1 | 10000 | 2001 | first | none |
      | without figures                       | - - - -         | 1 1 1 1   | first | first:0.1 | 10000 | 2001 | first | none   |

  Scenario: the home of a long prompt is kept, and gets the next one when it is quick again
    Then a long prompt passes over its home at the figure 250 and returns to it 0.7 s later

  Scenario: two long prompts in a row do not reach one server
    Then 2 long prompts of a prefix 0.1 s apart reach 2 servers, and a third 0.35 s after the first its home

  Scenario: a burst of long prompts is spread over the servers that are not slow
    Then 9 long prompts of new prefixes at once reach 9 of 12 servers, and none of the 3 slow ones
    And 30 of them reach no slow one, and each quick one gets at most 8

  Scenario: a gateway passes a long prompt over its home by the figure of the last answer
    Given a gateway before 2 model servers, of which the home of a prefix reports 250
    Then a prompt of 10000+100 tokens goes to the home, and one of 10000+2001 right after it to the other server

  Scenario: without figures all choices and draws are those of the build before
    Then 4000 choices without figures are as recorded
