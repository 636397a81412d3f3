Feature: the load of backend servers, as a VM knows it

  Scenario Outline: a server's load: <reported> reported with <then> in flight, now <now>, <age> s later
    Then a load of <reported> reported with <then> in flight counts as <load> with <now> in flight <age> s later

    Examples: the mean is 2, a request stays 1 s
      | reported | then | now | age | load |
      | 5        | 2    | 2   | 0.0 | 5    |
      | 5        | 2    | 4   | 0.0 | 7    |
      | 5        | 2    | 0   | 0.0 | 3    |
      | 5        | 2    | 2   | 1.0 | 3.1  |
      | 5        | 2    | 4   | 1.0 | 5.1  |
      | 0        | 0    | 0   | 1.0 | 1.26 |
      | 0        | 3    | 3   | 1.0 | 3    |
      | 9        | 0    | 0   | 4.0 | 2.13 |
      | 9        | 0    | 0   | 4.1 | 0    |
      | none     | 0    | 3   | 1.0 | 3    |

  Scenario Outline: the mean load of servers: <servers>
    Then servers with loads "<servers>" have the mean <mean>

    Examples: a report counts the request that was answered, which the mean does not
      | servers                                     | mean |
      | none                                        | 0    |
      | 1 2 3                                       | 2    |
      | 0 0 0 0 5:reported 4:reported               | 1.5  |
      | 4:reported 4:reported 4:reported            | 3    |
      | 2:reported 6:reported 4:reported            | 3    |
      | 0 0 0 0 4:reported 4:reported 4:reported    | 3    |
      | 0 0 0 0 1:reported 1:reported 1:reported    | 0    |
      | 0 0 0 0 0:reported 1:reported 1:reported    | 0    |
      | 9 9 9 1:reported 1:reported 1:reported      | 4.5  |

  Scenario Outline: the mean of servers of which <seen> of <servers> were seen
    Then of <servers> servers with loads drawn around 4 the mean of <seen> that were met errs by at most <error> in the mean

    Examples: those that hold more are met more often
      | servers | seen | error |
      | 400     | 20   | 0.1   |
      | 400     | 100  | 0.1   |
      | 400     | 300  | 0.05  |
      | 400     | 400  | 0.001 |

  Scenario Outline: a told report against a known one, <known> s and <told> s old
    Then a report of 3 requests <known> s ago and one of 9 told as <told> s old leave <load> known

    Examples:
      | known | told | load |
      | 1.0   | 0.5  | 9    |
      | 0.5   | 1.0  | 3    |
      | none  | 1.0  | 9    |
      | none  | 4.1  | 0    |
      | none  | -0.1 | 0    |

  Scenario Outline: which reports are told to whom: <reports>
    Then of reports "<reports>" those of "<near>" are told near and those of "<far>" far

    Examples: the bound is 1.5 times the mean and 1.5
      | reports                | near              | far   |
      | s0:1 s1:1 s2:1         | s0 s1 s2          | none  |
      | s0:1 s1:1 s2:1 s3:9    | s0 s1 s2 s3       | s3    |
      | s0:4 s1:4 s2:4 s3:6    | s0 s1 s2 s3       | s3    |

  Scenario: a report is told once, and what was told is not told on
    Then a VM tells its own report once, and none that it was told

  Scenario Outline: loads among <near> near VMs and <far> far ones are told in <period> s
    Then with <near> near VMs and <far> far ones a low report is told in <period> s to the near ones alone

    Examples:
      | near | far | period |
      | 7    | 0   | 0.08   |
      | 31   | 163 | 0.08   |
      | 99   | 500 | 0.25   |

  Scenario: a report near the bound is told to all VMs within the budget of datagrams
    Then a high report is told to 31 near VMs and 163 far ones in 0.08 s
    And a high report is told to 100 near VMs and 502 far ones in 0.25 s
    And with no datagrams left it is told to the near ones alone

  Scenario Outline: overdue requests at a server: <requests>
    Then requests "<requests>" make <overdue> overdue 1 s later, and the server holds <held>

    Examples: the usual wait is 0.1 s; A is answered, B given up, each after some seconds
      | requests           | overdue | held |
      | none               | 0       | 0    |
      | 0.9                | 0       | 1    |
      | 0.6                | 1       | 1    |
      | 0.0 0.1 0.9        | 2       | 3    |
      | 0.0A0.9            | 0       | 0    |
      | 0.0B0.9            | 1       | 1    |
      | 0.0B0.1            | 0       | 0    |
      | 0.0B0.5 0.4A0.7    | 0       | 0    |
      | 0.0B0.5 0.4        | 2       | 2    |

  Scenario Outline: a VM that gave an overdue request up <passed> s ago
    Then after <passed> s a request given up as overdue counts as <held>

    Examples:
      | passed | held |
      | 0.9    | 1    |
      | 1.1    | 0    |

  Scenario Outline: overdue requests that others tell: <told>
    Then where others told "<told>" a server with 1 request of this VM holds <held>

    Examples: VM, count and seconds ago
      | told               | held |
      | none               | 1    |
      | a:2:0.1            | 3    |
      | a:2:0.1 b:1:0.4    | 4    |
      | a:2:0.1 a:0:0.05   | 1    |
      | a:2:0.6 b:1:0.1    | 2    |

  Scenario: a fresh report does not hide overdue requests that others tell
    Then a server that reported 1 and of which others tell 5 overdue counts as 5

  Scenario: overdue requests are told to all VMs, again while they last, and their end once
    Then overdue requests are told at "0.0 0.24 0.48" s while they last, and their end once

  Scenario Outline: requests that stayed <stayed> s
    Then after "<stayed>" a request is said to stay <mean> s

    Examples:
      | stayed      | mean |
      | none        | 1    |
      | 2           | 1.1  |
      | 0 0         | 0.81 |
