Feature: decisions without I/O

  Scenario Outline: the route of <host> <path>
    Then the route of "<host>" "<path>" is "<route>"

    Examples:
      | host           | path       | route        |
      | a.example      | /x/1       | a.example/x/ |
      | A.EXAMPLE:8080 | /x/1       | a.example/x/ |
      | a.example      | /x/y/1     | a.example/x/y/ |
      | a.example      | /x/y       | a.example/x/ |
      | a.example      | /x/y/?q=/z/ | a.example/x/y/ |
      | a.example      | /xy/       | a.example/   |
      | b.example      | /x/        |              |
      | [::1]          | /x/        |              |

  Scenario Outline: retries of a window: <requests> requests
    Then <requests> requests and <asked> retries allow <at_once>, and as many again in the window <allowed>

    Examples:
      | requests | asked | at_once | allowed |
      | 0        | 5     | 2       | 2       |
      | 10       | 10    | 3       | 4       |
      | 100      | 50    | 12      | 22      |

  Scenario Outline: a rule is inherited from the <level>
    Then the time limit set at "<levels>" is <value>

    Examples:
      | level   | levels                    | value |
      | fleet   | fleet                     | 1.0   |
      | service | fleet service             | 2.0   |
      | host    | fleet service host        | 3.0   |
      | route   | fleet service host route  | 4.0   |

  Scenario Outline: bad settings name their place: <what>
    Then settings with "<what>" are refused at "<place>"

    Examples:
      | what           | place                            |
      | no service     | hosts.a.example.routes./x/       |
      | no slash       | hosts.a.example.routes./x        |
      | unknown field  | services[...]                    |
      | wrong type     | limits.max_body_bytes            |

  Scenario Outline: servers to choose from, in flight <loads>, a share of <share>
    Then with "<loads>" requests in flight and a share of <share> the choice is among "<left>"

    Examples:
      | loads | share | left     |
      | 0 1 5 | none  | s0 s1 s2 |
      | 0 1 5 | 5     | s0 s1    |
      | 0 1 5 | 1     | s0       |
      | 3 4 5 | 3     | s0 s1 s2 |

  Scenario Outline: a VM's share of <most> connections among <vms> VMs
    Then of <most> connections a VM among <vms> has <share>

    Examples:
      | most | vms     | share |
      | 0    | 8       | none  |
      | 110  | 8       | 12    |
      | 370  | 1       | 333   |
      | 10   | 360     | 1     |
      | 370  | unknown | 1     |
      | 0    | unknown | none  |

  Scenario Outline: events split at any piece: <what>
    Then the stream "<stream>" in pieces of any size gives whole events up to "<whole>", last id "<last>"

    Examples:
      | what                  | stream                              | whole                       | last |
      | line feeds            | id: 1\ndata: a\n\nid: 2\n\nid: 3\n | id: 1\ndata: a\n\nid: 2\n\n | 2    |
      | carriage returns too  | id: 1\r\ndata: a\r\n\r\nid: 2\r\n   | id: 1\r\ndata: a\r\n\r\n     | 1    |
      | an id inside the data | id: 7\ndata: id: 8\n\n              | id: 7\ndata: id: 8\n\n      | 7    |
      | no event yet          | id: 1\n                             |                             | none |

  Scenario Outline: homes of prefixes agree in any order: <case>
    Then homes announced in any order end as "<end>" for "<case>"

    Examples:
      | case                             | end     |
      | one places, others learn it           | first   |
      | two at the same time             | higher  |
      | an older and a younger           | first   |
      | the older server is gone          | second  |

  Scenario: a server that joins moves no home
    Then 200 prefixes placed on 4 servers stay when 2 more join

  Scenario: a server that leaves moves only its own homes
    Then 200 prefixes on 4 servers move only from the one that leaves

  Scenario Outline: a VM's part of the fleet's extra retries: <fleet> of <sharing> VMs
    Then of <fleet> extra retries of <sharing> VMs one may make <extra>, and all keep within them

    Examples:
      | fleet | sharing | extra |
      | none  | 80      | 2     |
      | none  | unknown | 2     |
      | 56    | 1       | 56    |
      | 56    | 8       | 7     |
      | 56    | unknown | 0     |
      | 214   | 87      | 2     |
      | 200   | 80      | 2     |
      | 214   | 360     | 0     |
      | 0     | 5       | 0     |

  Scenario: no server gets a request while it is at the bound
    Then 2000 generated placements leave no server above the bound

  Scenario Outline: evidence against a server: <outcomes>
    Then after "<outcomes>" a server is <state>

    Examples:
      | outcomes                              | state |
      | answered                              | in    |
      | failed                                | in    |
      | failed failed failed                  | suspect |
      | failed answered failed answered       | in    |
      | unreachable                           | suspect |
      | rejected                              | suspect |
      | unreachable wait                      | in    |
      | sent silence                          | suspect |
      | sent received silence                | in    |

  Scenario Outline: an entry that vanishes <when>
    Then an entry that vanishes at <now> after "<course>" is held until "<end>"

    Examples:
      | when                         | course                | now  | end   |
      | without any outage           | up                    | 10.0 |       |
      | while the log is away        | lost 8.0              | 10.0 | 12.2  |
      | as the log comes back        | lost 8.0 regained 9.9 | 10.0 | 12.1  |
      | long after it came back      | lost 2.0 regained 3.0 | 10.0 |       |
      | just before the hold's end   | lost 2.0 regained 8.0 | 10.0 | 10.2  |

  Scenario: a replica never goes back
    Then a replica fed with generated batches keeps the newest of each key
