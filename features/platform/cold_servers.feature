Feature: a cold server gets no more than it takes, from all VMs together

  A server that has just started, or was cleared, takes few requests a second for a while
  and falls over well above that. No VM sees what the others send it.

  Scenario Outline: all VMs at one server that is cold: <vms> VMs, <pattern>
    When <vms> VMs want to send a cold server requests as in "<pattern>"
    Then in no second it gets over 24, and of the places it gives <used> are used

    Examples: 13 a second are taken, 24.5 break it; a place that is not used is lost
      | vms | pattern                    | used |
      | 1   | wanted 85 a second         | 0.85 |
      | 3   | wanted 85 a second         | 0.85 |
      | 8   | wanted 85 a second         | 0.85 |
      | 65  | wanted 85 a second         | 0.6  |
      | 195 | wanted 85 a second         | 0.25 |
      | 8   | all VMs at once each 2 s   | 0.9  |
      | 65  | all VMs at once each 2 s   | 0.38 |
      | 195 | all VMs at once each 2 s   | 0.38 |
      | 360 | all VMs at once each 2 s   | 0.38 |
      | 65  | 85, clocks off by 0.3 s    | 0.6  |
      | 65  | 85, a tenth of VMs unknown | 0.6  |

  Scenario Outline: places of a window: <per_s> a second, <overage> times and <slack> borne
    Then a cold server with <per_s> a second, <overage> and <slack> gives <places> places in <window> s

    Examples: two windows may fall into one second
      | per_s | overage | slack | places | window |
      | 13    | 1.5     | 5     | 12     | 1      |
      | 13    | 1.0     | 0     | 6      | 1      |
      | 100   | 1.5     | 5     | 77     | 1      |
      | 4     | 1.5     | 5     | 4      | 1      |
      | 1     | 1.0     | 0     | 1      | 1      |
      | 0.5   | 1.5     | 5     | 1      | 2      |

  Scenario Outline: this VM's places where it knows <vms> VMs
    Then of 12 places a VM that knows <vms> VMs, itself included, has from <least> to <most>

    Examples: none before it knows the fleet
      | vms | least | most |
      | 0   | 0     | 0    |
      | 1   | 12    | 12   |
      | 5   | 2     | 3    |
      | 12  | 1     | 1    |
      | 65  | 0     | 1    |

  Scenario Outline: where a prompt goes beside cold servers: <case>
    Then with loads "<loads>", home "<home>" and cold "<cold>" a prompt goes to "<chosen>" and its home is "<after>"

    Examples: servers in the prefix's order; a cold one is there only while this VM has a place
      | case                             | loads   | home  | cold         | chosen | after |
      | the home has room                | 2 1 1 0 | first | fourth       | first  | first |
      | the home is at the bound         | 9 1 1 0 | first | fourth       | fourth | first |
      | two are cold                     | 9 1 0 0 | first | third fourth | third  | first |
      | the cold one is at the bound too | 9 1 1 9 | first | fourth       | second | first |
      | none is cold                     | 9 1 1 0 | first | none         | second | first |
      | the home itself is cold          | 2 1 1 1 | first | first        | first  | first |
      | no home yet                      | 1 1 1 0 | none  | fourth       | first  | first |

  Scenario Outline: how long a server is cold: <words>
    Then with "<words>" a server is cold for <left> s more

    Examples: entries that tell SECONDS, @ seconds between, ? supposed
      | words      | left |
      |            | 0.0  |
      | 3          | 3.0  |
      | 3 @1       | 2.0  |
      | 3 @1.2 1.8 | 1.8  |
      | 3 @1 0     | 0.0  |
      | 0 ?3       | 3.0  |
      | 2 ?3       | 3.0  |
      | ?3 @1 0    | 0.0  |
      | 3 @4       | 0.0  |

  Scenario Outline: a service whose cold servers take <per_s> a second, <state>
    Given a gateway and servers of which <cold> are cold, taking <per_s> a second
    Then 40 requests at once end as "<ends>" with <most> at the most at each cold server

    Examples: without a rate nothing is known to be too much
      | per_s | cold | state              | ends                | most |
      | 3     | 1    | others are warm    | all served          | 6    |
      | 3     | 2    | none is warm       | some refused: cold  | 6    |
      | 0     | 2    | no rate is told    | all served          | 40   |

  Scenario: a failure domain that is taken back counts as cold until its servers tell
    Given a gateway and servers of which 0 are cold, taking 2 a second
    When the operator empties "porto" and takes it back
    Then 40 requests at once end as "all served" with 4 at the most at each of "porto"
    And lines, metrics and the dump tell which servers are cold

  Scenario: so does one whose emptying this VM never read
    Given a gateway and servers of which 0 are cold, taking 2 a second
    When the operator takes "porto" back, which a VM did not know to be emptied
    Then 40 requests at once end as "all served" with 4 at the most at each of "porto"

  Scenario Outline: a VM that stalled for <late> s sends nothing <after> s after its wake
    Then after a stall of <late> s, <after> s after its wake a VM waits for <wait> s

    Examples: * before its turn was noted; it reads what it missed before it sends
      | late | after | wait |
      | 0.0  | *     | 0.0  |
      | 0.5  | *     | 0.0  |
      | 0.5  | 0.0   | 0.0  |
      | 1.0  | *     | 0.2  |
      | 3.0  | *     | 0.2  |
      | 3.0  | 0.0   | 0.2  |
      | 3.0  | 0.15  | 0.05 |
      | 3.0  | 0.2   | 0.0  |
      | 30.0 | 0.24  | 0.0  |

  Scenario: a server that is warm before its time gets its part
    Given a gateway and servers of which 1 are cold, taking 2 a second
    When the cold servers tell that they are warm
    Then 40 requests at once go to each server as to the others

  Scenario: a VM that starts again does not spend its quota of a cold server again
    Then two lives of a VM within one window give no more places than one
