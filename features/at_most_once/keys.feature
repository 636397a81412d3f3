Feature: A request marked as not repeatable runs at most once

  Scenario Outline: The same key through several VMs at once, <backend>
    Given a fleet of 4 routers before 1 engines and 2 plain servers
    And the plain servers <backend> keys
    When one key is sent 12 times at once through all VMs
    Then it ran once
    And every answer is the same

    Examples:
      | backend       |
      | honour        |
      | do not honour |

  Scenario Outline: <trouble>: <end>
    Given a fleet of 3 routers before 1 engines and 2 plain servers
    When one key is sent through each VM in turn while <trouble>
    Then it ran <runs>
    And the answers were <outcomes>
    And <end>

    Examples:
      | trouble                                | runs         | outcomes               | end                                   |
      | all is well                            | once         | ran, ran, ran          | every answer is the same              |
      | the log loses the claim's confirmation | once         | ran, ran, ran          | every answer is the same              |
      | the log is down                        | never        | not-run, not-run, not-run | it runs once when the log is back  |
      | the server loses the answer            | once         | unknown, unknown, unknown | every refusal says when to come back |
      | the servers are gone at first          | once         | not-run, ran, ran      | the answers that came are the same    |
      | the holder is stopped after it ran     | once         | ran, unknown, unknown  | every refusal says when to come back  |

  Scenario: A repeat waits until the VM that holds the key is listed
    Given a fleet of 2 routers before 1 engines and 1 plain servers
    When a repeat reaches a VM that lists the key's holder 2 seconds late
    Then it ran once
    And the repeat got the answer

  Scenario Outline: A key that <what> is refused
    Given a fleet of 2 routers before 1 engines and 1 plain servers
    When a key that <what> is sent
    Then it is refused with "<code>"
    And it ran never

    Examples:
      | what                    | code            |
      | has no age              | key_without_age |
      | is too old              | key_too_old     |
      | comes from the future   | key_from_future |

  Scenario: A key stands for one request only
    Given a fleet of 2 routers before 1 engines and 1 plain servers
    When one key is sent with two bodies
    Then it is refused with "key_reused"
    And it ran once

  Scenario Outline: A key whose claim may have been trimmed is refused <when>
    Given a fleet of 1 routers before 1 engines and 1 plain servers
    When the claims before a new VM's start are trimmed and the key returns there <when>
    Then it ran once
    And it is refused with "key_too_old"

    Examples: a VM ran it again that did not know yet that claims were trimmed
      | when                        |
      | after it has read the rest  |
      | before it has read the rest |

  Scenario Outline: keys of an age of <age> s where the first claim that is kept is <first>
    Then with a first kept claim that is <first>, a key of <age> s is too old: <old>

    Examples: a first record that can't be decoded told nothing, and old keys ran twice
      | first         | age  | old |
      | 60 s old      | 100  | yes |
      | 60 s old      | 50   | no  |
      | not decodable | 100  | yes |
      | not decodable | 1    | yes |
      | not decodable | -5.1 | no  |
      | not trimmed   | 100  | no  |

  Scenario: The caller leaves, the run goes on, and a repeat gets its answer
    Given a fleet of 2 routers before 1 engines and 1 plain servers
    When a caller leaves while its keyed booking runs, and repeats through another VM
    Then it ran once
    And the repeat got the answer

  Scenario: Without a key an unrepeatable call is sent once, whatever happens
    Given a fleet of 2 routers before 1 engines and 2 plain servers
    When 10 bookings without a key lose their answers
    Then each ran at most once and is called unknown
