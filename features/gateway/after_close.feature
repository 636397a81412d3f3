Feature: requests that arrive after a stopping VM announced the close are refused, and none runs

  Scenario Outline: a request behind an announced close ran, or got no answer: <more> more, a <reader> reader
    # A caller that received the announcement may send them again elsewhere.
    Given a gateway before two model servers
    And backend servers that answer by "events on demand"
    When it stops while a stream is answered, and its caller, a <reader> reader, sends <more> requests behind it
    Then the stream is whole, and each of the <more> is answered 503 with when to come back
    And one request reached a server

    Examples:
      | more | reader |
      | 1    | quick  |
      | 3    | quick  |
      | 1    | slow   |
      | 3    | slow   |
