Feature: each rule of the gateway, at its edges

  docs/ARCHITECTURE.md lists the rules with their modules and constants.

  Scenario Outline: admission of a request: <request>
    Then a request with "<request>" is admitted as "<found>"

    Examples:
      | request                            | found                         |
      | no settings                        | 503 no settings yet           |
      | no host                            | 400 no host                   |
      | another host                       | 404 no such route             |
      | another path                       | 404 no such route             |
      | no key                             | 401 unknown key               |
      | another key                        | 401 unknown key               |
      | no key, public                     | 10.0 s                        |
      | key                                | 10.0 s choir                  |
      | no customers, no key               | 10.0 s                        |
      | no customers, key                  | 10.0 s                        |
      | customers empty, key               | 401 unknown key               |
      | customers empty, no key            | 401 unknown key               |
      | customers empty, no key, public    | 10.0 s                        |
      | customers without keys, key        | 401 unknown key               |
      | customers without keys, no key     | 401 unknown key               |
      | customers with a blank key, empty key | 401 unknown key            |
      | customers with a blank key, no key | 401 unknown key               |
      | key, deadline 2000                 | 2.0 s choir                   |
      | key, deadline 60000                | 10.0 s choir                  |
      | key, deadline soon                 | 10.0 s choir, ignored "soon"  |
      | key, stopping for 2.8              | 10.0 s choir                  |
      | key, stopping for 3.0              | 503 stopping                  |
      | key, stopping for 3.0, deadline 4000 | 4.0 s choir                 |
      | no key, stopping for 3.0           | 401 unknown key               |

  Scenario Outline: how long a request waits for the first read: deadline <deadline>
    Then a request with a deadline of <deadline> s waits <wait> s for the first read

    Examples:
      | deadline | wait |
      | none     | 1    |
      | 10       | 1    |
      | 0.6      | 0.3  |
      | -1       | 0    |

  Scenario Outline: prompts of one prefix go to one service of a split
    Then prompts with prefix keys "<first>" and "<second>" go to <services> of a split

    Examples:
      | first | second | services   |
      | 1     | 1      | one        |
      | 1     | 4294967295 | both   |

  Scenario Outline: one more try after <tries> with <left> s left
    Then after <tries> tries with <left> s left a request finds "<verdict>"

    Examples:
      | tries | left  | verdict     |
      | 0     | 1.0   | SEND        |
      | 3     | 1.0   | SEND        |
      | 4     | 1.0   | TRIES_SPENT |
      | 1     | 0.02  | SEND        |
      | 1     | 0.019 | TIME_SPENT  |

  Scenario Outline: sending again on a <kind> route after "<end>": runs <runs>, <more>
    Then on a "<kind>" route after "<end>" with <runs> runs and "<more>" a retry finds "<verdict>"

    Examples:
      | kind       | end       | runs | more              | verdict        |
      | once       | not sent  | 0    |                   | SEND           |
      | once       | not sent  | 0    | no budget         | SEND           |
      | once       | rejected  | 0    |                   | SEND           |
      | once       | rejected  | 0    | no budget         | BUDGET_SPENT   |
      | once       | failed    | 1    |                   | NOT_REPEATABLE |
      | once       | timed out | 1    |                   | TIMED_OUT      |
      | repeatable | failed    | 1    |                   | SEND           |
      | repeatable | failed    | 1    | no budget         | BUDGET_SPENT   |
      | repeatable | failed    | 2    |                   | ATTEMPTS_SPENT |
      | repeatable | failed    | 1    | started           | ANSWER_STARTED |
      | repeatable | timed out | 1    |                   | TIMED_OUT      |
      | repeatable | rejected  | 2    |                   | SEND           |
      | stream     | failed    | 1    |                   | NOT_REPEATABLE |
      | resumable  | failed    | 1    | started           | SEND           |
      | resumable  | failed    | 2    | started           | ATTEMPTS_SPENT |

  Scenario Outline: taking over from an unresponsive server on a <kind> route: runs <runs>, <more>
    Then on a "<kind>" route with <runs> runs and "<more>" a takeover finds "<verdict>"

    Examples:
      | kind       | runs | more            | verdict        |
      | repeatable | 1    |                 | SEND           |
      | repeatable | 1    | no other server | NO_SERVER      |
      | repeatable | 1    | no budget       | BUDGET_SPENT   |
      | repeatable | 2    |                 | ATTEMPTS_SPENT |
      | repeatable | 1    | started         | ANSWER_STARTED |
      | resumable  | 1    | started         | SEND           |
      | once       | 1    |                 | NOT_REPEATABLE |

  Scenario Outline: the final answer once no server can be tried: runs <runs>, last "<last>", <more>
    Then with <runs> runs, last "<last>" and "<more>" a stopped request ends as "<ending>"

    Examples:
      | runs | last      | more    | ending         |
      | 0    | none      |         | REFUSE 503 0.25 |
      | 0    | rejected  |         | REFUSE 503 0.25 |
      | 0    | not sent  |         | REFUSE 503 0.25 |
      | 1    | failed    |         | REFUSE 502     |
      | 1    | timed out |         | REFUSE 504     |
      | 1    | failed    | started | CUT 500        |
      | 1    | timed out | started | CUT 500        |

  Scenario Outline: the final answer after a failure: runs <runs>, last "<last>", <more>
    Then with <runs> runs, last "<last>" and "<more>" a failed request ends as "<ending>"

    Examples:
      | runs | last      | more              | ending          |
      | 1    | failed    | its answer        | RELAY 500       |
      | 1    | failed    |                   | REFUSE 502      |
      | 1    | failed    | its answer, started | CUT 500       |
      | 0    | rejected  | its answer        | REFUSE 503 0.25 |
      | 1    | rejected  | its answer        | REFUSE 502      |
      | 1    | timed out |                   | REFUSE 504      |

  Scenario Outline: the answer to a request that is denied: <denial>
    Then a request denied for "<denial>" ends as "<ending>"

    Examples:
      | denial      | ending          |
      | NO_SETTINGS | REFUSE 503 0.5  |
      | STOPPING    | REFUSE 503 0.05 |
      | NO_HOST     | REFUSE 400      |
      | NO_ROUTE    | REFUSE 404      |
      | UNKNOWN_KEY | REFUSE 401      |

  Scenario Outline: what an answer says of its request: <status> <headers>
    Then an answer <status> with "<headers>" is "<kind>"

    Examples:
      | status | headers          | kind         |
      | 200    | signed           | SUCCESS      |
      | 299    | signed           | SUCCESS      |
      | 200    |                  | UNSIGNED     |
      | 200    | signed encoded   | UNSIGNED     |
      | 421    |                  | MISDIRECTED  |
      | 421    | marked           | MISDIRECTED  |
      | 503    | marked           | REJECTED     |
      | 429    | marked           | REJECTED     |
      | 408    | marked           | REJECTED     |
      | 400    | marked           | REJECTED     |
      | 503    |                  | SERVER_ERROR |
      | 500    | marked           | SERVER_ERROR |
      | 404    | marked           | CLIENT_ERROR |
      | 400    |                  | CLIENT_ERROR |
      | 302    |                  | CLIENT_ERROR |

  Scenario Outline: servers to choose from: <servers>, tried <tried>
    Then of servers "<servers>" with "<tried>" tried the eligible are "<eligible>"

    Examples:
      | servers                        | tried | eligible |
      | healthy healthy                | none  | s0 s1    |
      | healthy healthy                | s0    | s1       |
      | healthy healthy                | s0 s1 | none     |
      | ejected healthy                | none  | s1       |
      | unresponsive healthy           | none  | s1       |
      | ejected unresponsive           | none  | s0 s1    |
      | ejected healthy                | s1    | s0       |

  Scenario Outline: the server of a prompt: loads <loads>, home <home>, tried <tried>
    Then with loads "<loads>", home "<home>" and "<tried>" tried a prompt goes to "<chosen>" as rank <rank>, copied from "<source>", and its home is "<after>"

    Examples:
      | loads     | home  | tried        | chosen | rank | source | after  |
      | 0 0 0 0   | none  | none         | first  | 1    | none   | first  |
      | 3 2 1 0   | none  | none         | first  | 1    | none   | first  |
      | 4 1 2 2   | none  | none         | second | 2    | none   | second |
      | 1 3 0 0   | none  | none         | first  | 1    | none   | first  |
      | 2 2 0 0   | none  | none         | first  | 1    | none   | first  |
      | 30 0 0 0  | none  | none         | second | 2    | none   | second |
      | 0 0 0 0   | third | none         | third  | 0    | none   | third  |
      | 0 0 6 0   | third | none         | first  | 1    | third  | third  |
      | 2 2 5 2   | third | none         | third  | 0    | none   | third  |
      | 9 0 0 0   | first | none         | second | 2    | first  | first  |
      | 0 0 0 0   | first | first        | second | 1    | first  | first  |
      | 30 31 0 0 | none  | third fourth | first  | 1    | none   | none   |
      | 31 30 0 0 | none  | third fourth | second | 2    | none   | none   |

  Scenario Outline: the servers of a prefix: peak <peak> of its home, hot <hot>
    Then prompts of a prefix that is hot: <hot>, whose home held <peak> s ago, go in shares <shares>

    Examples: the bound is 8; from it on a hot prefix has 3 servers for each 8 of the peak
      | peak     | hot | shares                  |
      | 7 at 0   | yes | 1 0 0 0                 |
      | 8 at 0   | yes | 0.333 0.333 0.333 0     |
      | 8 at 0   | no  | 1 0 0 0                 |
      | 10 at 0  | yes | 0.267 0.267 0.267 0.2   |
      | 16 at 5  | yes | 1 0 0 0                 |
      | 24 at 5  | yes | 0.302 0.302 0.302 0.094 |
      | 32 at 5  | yes | 0.227 0.227 0.227 0.32  |
      | 60 at 0  | yes | 0.044 0.044 0.044 0.867 |
      | 32 at 20 | yes | 1 0 0 0                 |

  Scenario Outline: whether a prefix is hot: <met> before <servers> servers
    Then a prefix met "<met>" before <servers> servers is hot: <hot>, after 5.1 s more: no

    Examples: SECONDS after the last time, the prompt of the VM since then
      | met              | servers | hot |
      | 0:1              | 8       | no  |
      | 0:1 1:1          | 8       | yes |
      | 0:1 1:4          | 8       | yes |
      | 0:1 1:5          | 8       | no  |
      | 0:1 1:18         | 37      | yes |
      | 0:1 5:1          | 8       | yes |
      | 0:1 5.1:1        | 8       | no  |
      | 0:1 5.1:1 1:1    | 8       | yes |

  Scenario: a hot prefix is told once, and not told on
    Then a VM that finds a prefix hot tells it once in 2.5 s, and who hears of it tells nothing

  Scenario Outline: the server of a request without a prefix: <servers>
    Then among servers "<servers>" requests without a prefix go in shares <shares>

    Examples: a near server is preferred for 1.5 times its part of the requests
      | servers                    | shares                    |
      | near:2 far:2               | 0.75 0.25                 |
      | near:0 far:0 far:0 far:0   | 0.375 0.208 0.208 0.208   |
      | near:3 far:2               | 0.375 0.625               |
      | near:4 far:2               | 0 1                       |
      | near:1 near:0 far:0        | 0 1 0                     |
      | far:1 far:0                | 0 1                       |
      | near:1 near:1              | 0.5 0.5                   |

    Examples: so are those of which no other VM tells overdue requests, the third number
      | servers                            | shares                    |
      | near:0:1 far:0 far:0 far:0         | 0 0.333 0.333 0.333       |
      | near:0:3 far:0 far:0 far:0         | 0 0.333 0.333 0.333       |
      | near:0 far:0:1 far:0:1 far:0:1     | 0.375 0.208 0.208 0.208   |
      | near:0:1 far:0:1 far:0:1 far:0:1   | 0.375 0.208 0.208 0.208   |
      | near:0:1 far:0:1 far:0 far:0       | 0.094 0.156 0.375 0.375   |
      | near:0:9 far:0:1 far:0:1 far:0:1   | 0 0.333 0.333 0.333       |

  Scenario Outline: in how long a server is likely to be open: <servers>
    Then among servers "<servers>" one is likely to be open in <opening> s

    Examples:
      | servers                   | opening |
      | none                      | 0.5     |
      | open ejected:2            | 0       |
      | ejected:2 ejected:0.25    | 0.25    |
      | silent ejected:2          | 0.8     |

  Scenario Outline: a server that the fleet sees failing: <told>, <rate> requests/s
    Then a server with the failures "<told>" of <rate> requests/s is passed over: <bad>

    Examples:
      | told                | rate | bad |
      | none                | 5    | no  |
      | a:2@0               | 1    | no  |
      | a:3@0               | 1    | yes |
      | a:3@0               | 5    | no  |
      | a:5@0               | 5    | yes |
      | a:5@2               | 5    | no  |
      | a:2@0 a:4@1         | 5    | yes |
      | b:9@0               | 5    | no  |
      | b:5@0 c:4@0         | 5    | yes |
      | a:1@0 b:5@0         | 5    | yes |
      | a:0.5@0 b:9@0       | 5    | no  |

  Scenario Outline: the fleet never passes over much of a service: <failing> of <count>
    Then of <count> servers with <failing> that fail <bad> are passed over

    Examples:
      | count | failing | bad |
      | 9     | 1       | 1   |
      | 9     | 3       | 3   |
      | 9     | 4       | 0   |
      | 2     | 1       | 0   |

  Scenario Outline: a VM with bad links tells nothing of servers: <failing> of <count>
    Then among <count> servers a VM that saw <failing> fail tells of <told>

    Examples:
      | count | failing | told |
      | 6     | 0       | 0    |
      | 6     | 2       | 2    |
      | 6     | 3       | 0    |
      | 1     | 1       | 1    |

  Scenario Outline: a silent server's unanswered requests are told: silent <silent> s
    Then a request that ends unanswered at a server silent for <silent> s is told: <told>

    Examples:
      | silent | told |
      | 0.5    | no   |
      | 0.9    | yes  |

  Scenario Outline: whether a process has stalled: turns at <turns>, asked at <asked>
    Then a process with turns of 0.25 s at "<turns>" is behind at <asked>: <behind>

    Examples: a turn is late from 0.1 s on, and for 0.1 s more what came is still read
      | turns      | asked | behind |
      | none       | 5     | no     |
      | 0 0.25     | 0.5   | no     |
      | 0 0.25     | 0.59  | no     |
      | 0 0.25     | 0.61  | yes    |
      | 0 0.25 1.6 | 1.65  | yes    |
      | 0 0.25 1.6 | 1.71  | no     |
      | 0 0.25 0.5 | 0.55  | no     |

  Scenario: a process that stalled concludes nothing from silence
    Then a server silent for 0.9 s is not unresponsive to a process that is behind
    And its overdue requests are not told, nor held once they are given up

  Scenario: many VMs find a server out by few requests in all
    Then 20 VMs that each see one failure find a server out after 5

  Scenario: what was told of a server is not told on
    Then a VM that was told of failures of "s0" tells nothing

  Scenario: what was just placed is told at once, within the budget of datagrams
    Then with 80 other VMs a home placed 0.1 s after a message is told in 0.1 s
    And with 80 other VMs and no datagrams left it is told in the turn

  Scenario: VMs that have not read the entry of a new build learn of it at once
    Then with 80 other VMs a second build is told in 0.1 s, unless another VM reported it

  Scenario Outline: when a refused request may come back: open in <opening>, <left> left
    Then with a server open in <opening> s, <left> s left, rank <rank> and the point <point> a refused request comes back after <pause> s

    Examples:
      | opening | left | rank | point | pause |
      | 0       | 9    | 0    | 0     | 0.1   |
      | 0       | 9    | 0    | 0.5   | 0.125 |
      | 0.4     | 9    | 0    | 0     | 0.4   |
      | 0.4     | 9    | 1    | 0     | 0.5   |
      | 0.4     | 9    | 7    | 0     | 0.7   |
      | 0.4     | 0.6  | 0    | 0     | 0.2   |
      | 0.4     | -1   | 0    | 0     | 0     |

  Scenario Outline: a connection idle for <idle> s, a route that is <kind>, <announced> announced
    Then a connection idle for <idle> s on a "<kind>" route with <announced> announced is used: <used>

    Examples:
      | idle | kind       | announced | used |
      | 0.69 | once       | none      | yes  |
      | 0.7  | once       | none      | no   |
      | 3.9  | repeatable | none      | yes  |
      | 4.0  | repeatable | none      | no   |
      | 0.9  | repeatable | 2 s       | yes  |
      | 1.0  | repeatable | 2 s       | no   |
      | 0.6  | once       | 1 s       | no   |
      | 3.9  | repeatable | 60 s      | yes  |

  Scenario Outline: <idle> idle connections and <spare> to spare
    Then with <idle> idle connections and <spare> to spare one more is kept: <kept>

    Examples:
      | idle | spare | kept |
      | 5    | none  | yes  |
      | 0    | 1     | yes  |
      | 1    | 1     | no   |
      | 0    | 0     | no   |
      | 0    | -2    | no   |

  Scenario Outline: peers are asked: the log is <log>, the table <age> s old
    Then with the log <log> and a table <age> s old peers are asked: <asked>

    Examples:
      | log  | age  | asked |
      | up   | 2.6  | no    |
      | up   | 2.7  | yes   |
      | away | 0.1  | yes   |

  Scenario Outline: which peers may be asked: seen <seen>, seeds <seeds>
    Then of peers seen "<seen>" and seeds "<seeds>" the candidates of "p1" are "<candidates>"

    Examples:
      | seen                 | seeds | candidates        |
      | none                 | none  | none              |
      | none                 | p1 s1 | s1                |
      | p3 p2 p1             | none  | p2 p3             |
      | p9 p8 p7 p6 p5 p4 p3 | s1    | p4 p5 p6 p7 p8 p9 s1 |
      | p2 p3                | p2 p3 | p2 p3             |

  Scenario Outline: how many of <count> peers are asked at a time
    Then of <count> candidates <asked> different ones are asked

    Examples:
      | count | asked |
      | 0     | 0     |
      | 1     | 1     |
      | 2     | 2     |
      | 9     | 2     |

  Scenario Outline: a relay's answer within a bound of 2 s: position <position>, <age> s old, after <last>
    Then after <last> a relay's answer at position <position> that is <age> s old is accepted after position 7: <accepted>

    Examples: news may be old once
      | position | age  | last     | accepted |
      | 7        | 0.0  | any      | yes      |
      | 7        | 1.0  | any      | yes      |
      | 7        | 1.01 | any      | no       |
      | 9        | 1.0  | any      | yes      |
      | 9        | 1.01 | any      | yes      |
      | 9        | 2.0  | any      | yes      |
      | 9        | 2.01 | any      | no       |
      | 9        | 1.01 | old news | no       |
      | 9        | 1.0  | old news | yes      |
      | 6        | 0.0  | any      | no       |
      | none     | 0.0  | any      | no       |

  Scenario Outline: which relay "<vm>" asks among "<relays>"
    Then among relays "<relays>" the VM "<vm>" asks <count> one

    Examples:
      | vm | relays | count |
      | a1 | none   | no    |
      | a1 | a1 a2  | no    |
      | a3 | a1 a2  | some  |

  Scenario Outline: which of two homes of a prefix wins: theirs <theirs> s old, ours <ours> s old
    Then a home placed <theirs> s ago wins over one placed <ours> s ago: <wins>

    Examples:
      | theirs | ours | wins          |
      | 2.0    | 1.0  | always        |
      | 1.0    | 2.0  | never         |
      | 1.5    | 1.0  | if it ranks higher |
      | 1.0    | 1.0  | if it ranks higher |
      | 1.6    | 1.0  | always        |

  Scenario Outline: a planned stop after <passed> s, a request of <limit> s
    Then <passed> s into a planned stop a request of <limit> s is taken: <taken>

    Examples:
      | passed | limit | taken |
      | 0.0    | 100.0 | yes   |
      | 2.8    | 100.0 | yes   |
      | 2.94   | 100.0 | yes   |
      | 2.96   | 4.5   | yes   |
      | 2.96   | 4.6   | no    |
      | 7.5    | 0.1   | no    |

  Scenario Outline: a planned stop closes a connection that is <age> s old: <closed>
    Then in a planned stop a connection that is <age> s old may be closed: <closed>

    Examples:
      | age | closed |
      | 0.4 | no     |
      | 0.5 | yes    |
