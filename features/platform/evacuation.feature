Feature: a failure domain that the operator has emptied gets nothing

  Before servers of a failure domain are taken away, the operator empties it. What runs
  there ends as it would; nothing new is sent there, by any way, until it is taken back.

  Scenario Outline: servers of emptied failure domains: <emptied>, then <restored> taken back
    Then with "<emptied>" emptied and "<restored>" taken back, servers of "<open>" are open

    Examples: by the newest word on each domain
      | emptied          | restored         | open             |
      | none             | none             | porto faro evora |
      | porto            | none             | faro evora       |
      | porto porto      | porto            | porto faro evora |
      | porto faro       | faro             | faro evora       |
      | porto faro evora | none             | none             |
      | nowhere          | none             | porto faro evora |
      | none             | porto            | porto faro evora |

  Scenario Outline: no way leads to an emptied failure domain: <way>
    Then a request that "<way>" finds no server of an emptied failure domain

    Examples: none of these servers is better than one of the emptied domain
      | way                              |
      | has its prefix's home there      |
      | has a hot prefix                 |
      | tried every other server         |
      | finds every other server ejected |
      | finds every other server full    |
      | is a suspect                     |
      | has no prefix                    |

  Scenario Outline: a prompt whose home takes nothing new is copied from it: <why>
    Then a prompt whose home <why> goes elsewhere and is copied from "<source>"

    Examples: as long as the home answers
      | why                               | source |
      | stands in an emptied domain       | home   |
      | is draining                       | home   |
      | is draining and fails             | none   |
      | has ended                         | none   |
      | is at the bound                   | home   |

  Scenario Outline: records that empty a failure domain: <key>
    Then a record "<key>" empties "<domain>"

    Examples: what stands in the record says nothing; its key does
      | key               | domain  |
      | evacuate/porto    | porto   |
      | evacuate/a/b      | a/b     |
      | evacuate/         | refused |
      | evacuate/\x00     | refused |
      | config            | none    |
      | evacuated         | none    |

  Scenario: a domain is emptied, taken back and emptied again while requests come
    Given gateways before servers in "porto faro evora"
    Then requests go to servers in "porto faro evora" alone
    When the operator empties "porto"
    Then requests go to servers in "faro evora" alone
    When the operator empties "faro"
    Then requests go to servers in "evora" alone
    When the operator takes "porto" back
    Then requests go to servers in "porto evora" alone
    When the operator takes "faro" back
    Then requests go to servers in "porto faro evora" alone

  Scenario: a VM that the store turns away learns from others, and history may be dropped
    Given gateways before servers in "porto faro"
    When the store turns the second VM away
    And the operator empties "porto"
    Then requests go to servers in "faro" alone
    When the store drops the settings' history
    And the operator takes "porto" back
    Then requests go to servers in "porto faro" alone

  Scenario: a VM that starts, or wakes up behind dropped history, knows what is emptied
    Given gateways before servers in "porto faro"
    When the operator empties "porto"
    And the store drops the settings' history
    And the VMs start again
    Then requests go to servers in "faro" alone

  Scenario: with every domain emptied requests are refused at once, until one is back
    Given gateways before servers in "porto faro"
    When the operator empties "porto"
    And the operator empties "faro"
    Then requests are refused at once, with when to come back and the rule "evacuated"
    When the operator takes "faro" back
    Then requests go to servers in "faro" alone

  Scenario: what runs in a domain when it is emptied ends well
    Given gateways before servers in "porto faro"
    When a slow request runs at each server and the operator empties "porto"
    Then the slow requests are answered whole

  Scenario: operators see what is emptied
    Given gateways before servers in "porto faro"
    When the operator empties "porto"
    Then requests go to servers in "faro" alone
    And lines, metrics and the dump tell that "porto" is emptied
    When the operator takes "porto" back
    Then requests go to servers in "porto faro" alone
    And lines, metrics and the dump tell that nothing is emptied
