Feature: Cache reuse at the height of pure hashing, load never above the bound

  Short replays of the real allocator against counting fakes; the same seeds
  give the same figures each time.

  Scenario Outline: <deployment>, <run>
    When the replay of the <deployment> runs, <run>, through ramppin and its baselines
    Then ramppin put no engine over the bound
    And ramppin's reuse is above that of the bounded hash with perfect knowledge
    And ramppin's skew at the 99th percentile is below that of random and of hash alone

    Examples:
      | deployment  | run         |
      | association | steady      |
      | association | churn       |
      | association | lists differ |
      | nominations | steady      |
      | nominations | churn       |
      | nominations | lists differ |

  Scenario Outline: A surge of two customers leaves the quiet ones' waiting unchanged: <deployment>
    When the replay of the <deployment> runs calm and with a surge
    Then the quiet customers' 99th percentile of waiting is within 1.1 of calm
    And ramppin put no engine over the bound

    Examples:
      | deployment  |
      | association |
      | nominations |

  Scenario: A departing engine moves only its own chats
    Given 400 chats placed on 9 engines
    When one engine leaves and each chat returns
    Then only chats of that engine moved

  Scenario: A chat that spilled returns to where it spilled
    Given a chat whose first choice is full
    When it is placed elsewhere and returns after its first choice has room
    Then it goes to where it was placed

  Scenario: An engine that fails is put aside and brought back gently
    Given an allocator of 3 engines with room
    When an engine fails 3 times in a row
    Then it gets nothing until its pause is over
    And then one request, and more after each success

  Scenario: Cache events tell a new owner where a chat is
    Given an allocator that knows nothing of a chat
    When a cache event says that the chat is not on its first choice
    Then the chat goes where the event says
    And an event that it was evicted sends it to its first choice again

  Scenario Outline: What may have ended never raises the mean: <places> places, <lost> of a lost VM
    Given an allocator of 3 engines, bound 1.25 and floor <floor>
    When <places> places are granted, and the VM of <lost> of them is lost
    Then a backend server may hold at most <cap>

    Examples:
      | places | lost | floor | cap |
      | 12     | 0    | 1     | 5   |
      | 12     | 6    | 1     | 3   |
      | 12     | 12   | 1     | 1   |
      | 12     | 12   | 2     | 2   |
