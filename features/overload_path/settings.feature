Feature: overload control is enabled by settings, and bad ones are refused

  Scenario Outline: routing settings with <what>
    Then the routing settings with <what> give the rules "<rules>"

    Examples:
      | what                                    | rules                                     |
      | {}                                      | none                                      |
      | {"overload": {}}                        | on, room, early, fair, 256, 8388608       |
      | {"overload": {"enabled": false}}        | off, room, early, fair, 256, 8388608      |
      | {"overload": {"waiting_room": false}}   | on, early, fair, 256, 8388608             |
      | {"overload": {"early_rejection": false, "fair_shares": false}} | on, room, 256, 8388608 |
      | {"overload": {"max_waiting": 1, "max_waiting_bytes": 9}} | on, room, early, fair, 1, 9 |

  Scenario Outline: routing settings that are refused: <what>
    Then the routing settings with <what> are refused: "<words>"

    Examples:
      | what                                             | words                                                                        |
      | {"overload": {"waitingroom": true}}              | settings: overload: Object contains unknown field `waitingroom`              |
      | {"overload": true}                               | settings: overload: Expected `object \| null`, got `bool`                    |
      | {"overload": {"max_waiting": 0}}                 | overload.max_waiting: 0 is too small (1 or more)                             |
      | {"overload": {"max_waiting_bytes": 0}}           | overload.max_waiting_bytes: 0 is too small (1 or more)                       |
      | {"overload": {"max_waiting": "many"}}            | settings: overload.max_waiting: Expected `int`, got `str`                    |
      | {"services": {"plain": {"limit": 0}}}            | settings: services[...].limit: Expected `int` >= 1                           |
      | {"customers": {"c": {"keys": [], "weight": 0}}}  | customers.c.weight: 0 is not a weight (over 0, at most 1000)                 |
      | {"customers": {"c": {"keys": [], "weight": -1}}} | customers.c.weight: -1 is not a weight (over 0, at most 1000)                |
      | {"customers": {"c": {"keys": [], "weight": 1001}}} | customers.c.weight: 1001 is not a weight (over 0, at most 1000)            |

  Scenario: a customer's weight and a service's limit are read
    Then the weight 2.5 of a customer and the limit 7 of a service are in the settings

  Scenario Outline: the field contracts of the platform: "<contracts>", memory "<memory>"
    Then with the contracts "<contracts>" and "<memory>" MB of memory the rules are "<rules>"

    Examples:
      | contracts          | memory | rules                               |
      |                    |        | none                                |
      | streams            | 200    | none                                |
      | pressures          |        | none                                |
      | pressure           |        | on, room, early, fair, 256, 8388608 |
      | streams, pressure  | 552    | on, room, early, fair, 256, 8388608 |
      | pressure,streams   | 40     | on, room, early, fair, 256, 5000000 |
      | pressure           | much   | test: limits.memory_mb: 'much' is not a number |

  Scenario Outline: rules of the routing settings precede those of the process: <table>, <process>
    Then with the rules "<table>" in the routing settings and "<process>" of the process overload control is <state>

    Examples:
      | table | process | state    |
      | none  | none    | disabled |
      | none  | on      | enabled  |
      | off   | on      | disabled |
      | on    | none    | enabled  |
      | on    | off     | enabled  |
      | none  | off     | disabled |

  Scenario: a process on the platform with the contract pressure shows what its services hold
    Then a process with the contracts "streams,pressure" shows the limit of its service
    And a process with the contracts "streams" shows none
