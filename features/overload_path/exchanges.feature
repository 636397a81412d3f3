Feature: what a caller gets while requests wait for their turn

  Background:
    Given a gateway under overload control before a server that takes 1 request at a time

  Scenario: a request waits until the one before it has ended
    When "first" is sent to "/calm/", and "second" once the server has it
    Then the server has only "first", and 1 request waits
    When the server answers "first"
    Then the server has "second", and no request waits
    When the server answers "second"
    Then both were answered with 200, and the line of "second" tells that it waited

  Scenario: urgent requests start before less urgent ones that came earlier
    When "first" is sent to "/calm/", and "calm" once the server has it
    And "urgent" is sent to "/urgent/" and waits
    Then the server gets "first urgent calm" in this order, each once the one before it was answered

  Scenario: a request refused by a full queue was never sent to a server
    Given the queue takes 1 request
    When "first" is sent to "/calm/", and "second" once the server has it
    And "third" is sent to "/calm/" and is answered at once
    Then "third" got 503 by the rule "room_full", to come back within a third of its time
    And the line of "third" tells 0 tries, 0 runs, its estimate and the 1 request ahead of it
    And the server never gets "third", though "first" and "second" are answered

  Scenario: a waiting request that a more urgent one displaces was never sent to a server
    Given the queue takes 1 request
    When "first" is sent to "/calm/", and "second" once the server has it
    And "urgent" is sent to "/urgent/" and waits
    Then "second" got 503 by the rule "displaced", to come back within a third of its time
    And the server never gets "second", though "first" and "urgent" are answered

  Scenario: a request that can't start before its caller disconnects is refused on arrival
    When the service is known to take 2 s for each request
    And "first" is sent to "/calm/", and runs
    And "second" is sent to "/urgent/" and waits
    And "third" is sent to "/calm/" with a deadline of 900 ms and is answered at once
    Then "third" got 503 by the rule "too_late", to come back within a third of its time
    And the server never gets "third", though "first" and "second" are answered

  Scenario: a caller that leaves while its request waits
    When "first" is sent to "/calm/", and "second" once the server has it
    And the caller of "second" leaves
    Then no request waits, and the line of "second" tells the rule "caller_left"
    And the server never gets "second", though "first" is answered

  Scenario: a request that waited is tried at another server without waiting again
    Given a second server, and "second" is rejected by the first one that gets it
    When "first" and "second" are sent to "/calm/", and "second" waits
    Then "second" was tried twice, and 2 starts and 2 ends were counted

  Scenario: a VM that stops refuses what can't end in time, and starts the rest
    Given the planned stop accepts all for 0.3 s and lasts 3 s
    When "first" is sent to "/calm/", and "second" once the server has it
    And "brief" is sent to "/calm/" with a deadline of 2000 ms and waits
    And the VM begins a planned stop
    Then "second" got 503 by the rule "stopping" within 1 s
    And the server never gets "second", though "first" and "brief" are answered

  Scenario Outline: requests of a service without open servers are refused at once: <rule>
    When "first" is sent to "/calm/", and the server closes by "<rule>"
    And "second" is sent to "/calm/" and is answered at once
    Then "second" got 503 by the rule "<rule>"

    Examples:
      | rule      |
      | evacuated |
      | leaving   |
      | resting   |

  Scenario: disabling overload control starts what waits
    When "first" is sent to "/calm/", and "second" once the server has it
    And settings without "overload" are published
    Then the server has "first" and "second", and no request waits

  Scenario: changed rules apply to requests that wait already
    When "first" is sent to "/calm/", and "second" once the server has it
    And "third" is sent to "/calm/" and waits
    And settings whose queue takes 1 request are published
    Then "third" got 503 by the rule "room_full", to come back within a third of its time
    And the server never gets "third", though "first" and "second" are answered

  Scenario: without overload control a request takes no new step
    Given settings without "overload"
    When "first" is sent to "/calm/", and "second" once the server has it
    Then the server has "first" and "second", and no request waits
    And no request asked for its turn

  Scenario: below capacity no request waits
    Given the server takes 20 requests at a time
    When 10 requests are sent to "/calm/" one after the other
    Then none of them waited, and no timer ran

  # It waited for its turn like others, and got 503 when that came.
  Scenario: a request refused because it crashes servers does not wait
    Given servers crashed under the part "ab" of prompts
    When "first" is sent to "/calm/", and "second" once the server has it
    And "third" with the part "ab" goes to "/calm/", and is answered at once
    Then the line of "third" tells 503 by the rule "quarantined", the part "ab", and when to come back
    And the server never gets "third", though "first" and "second" are answered
