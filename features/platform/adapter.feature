Feature: the gateway runs on the users' platform through its adapter

  Scenario: a request goes from a caller to a server and back
    Given the platform with a plain server and a gateway process
    When a request to "/a/x" is sent with the key "k1"
    Then its answer is 200
    And the plain server got the platform's headers and no key

  Scenario Outline: what the configuration does not allow: <path> <key>
    Given the platform with a plain server and a gateway process
    When a request to "<path>" is sent with the key "<key>"
    Then its answer is <status>

    Examples:
      | path  | key | status |
      | /a/x  | k2  | 401    |
      | /zz/x | k1  | 404    |
      | /s/x  | k1  | 503    |

  Scenario: a stream is continued at another engine
    Given the platform with two engines that cut their streams and a gateway process
    When a stream on "/s/x" is sent with the key "k1"
    Then its answer is 200
    And it holds the events 1 to 4 once each
    And both engines got the request, the second with the last event's id

  Scenario: a new configuration and a leaving server are heeded while it runs
    Given the platform with a plain server and a gateway process
    When the key "k1" is replaced by "k3" in version 9
    Then a request with the key "k3" is soon answered 200
    And a request with the key "k1" is soon answered 401
    When the plain server says "draining"
    Then a request with the key "k3" is soon answered 503

  Scenario Outline: the store's trouble stops nothing: <trouble>
    Given the platform with a plain server and a gateway process
    When the store is "<trouble>"
    Then requests with the key "k1" are still answered 200
    When the store is "well"
    And the key "k1" is replaced by "k3" in version 9
    Then a request with the key "k3" is soon answered 200

    Examples:
      | trouble |
      | busy    |
      | many    |
      | silent  |

  Scenario: the store's history is dropped
    Given the platform with a plain server and a gateway process
    When the key "k1" is replaced by "k3" in version 9
    And the store drops its history
    And the key "k3" is replaced by "k4" in version 12
    Then a request with the key "k4" is soon answered 200

  Scenario: many servers come in pages
    Given the platform whose pages hold 2 records, with 7 plain servers and a gateway
    Then requests reach all 7 servers

  Scenario: SIGTERM finishes what runs and ends the process
    Given the platform with a plain server and a gateway process
    When a request to "/a/x" is at work and the process gets SIGTERM
    Then that request is answered 200 and the process exits with 0

  Scenario: SIGHUP changes nothing that runs
    Given the platform with a plain server and a gateway process
    When the process gets SIGHUP
    Then requests with the key "k1" are still answered 200

  Scenario Outline: a settings file that can't be used names its place: <what>
    When the program starts with settings that have <what>
    Then it exits with 2 and names "<place>"

    Examples:
      | what           | place             |
      | no file        | No such file      |
      | a missing name | node_name         |
      | a bad address  | listen.frontend   |
      | a bad number   | bounds.grace_s    |

  Scenario: the platform's names stand in the adapter alone
    Then no file of the product, its stand-ins or its bench holds a name of the platform

  Scenario Outline: a changed settings file is heeded <how>
    Given the platform with a plain server and a gateway process
    When the settings file says grace_s 3 and the process <how>
    Then the log soon shows "drain_limit_s":2.5

    Examples:
      | how            |
      | gets SIGHUP    |
      | gets no signal |

  Scenario: a settings file that became unusable changes nothing
    Given the platform with a plain server and a gateway process
    When the settings file says grace_s soon and the process gets SIGHUP
    Then the log soon shows bounds.grace_s
    And requests with the key "k1" are still answered 200
