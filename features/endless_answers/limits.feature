Feature: bytes that are no answer come without end

  # Kept until the deadline, they filled the memory of the process and held its callers.
  Scenario Outline: endless <form> is read until the deadline
    Then <form> without end is reset within <limit> bytes, wherever it is cut

    Examples:
      | form                 | limit   |
      | head lines           | 65536   |
      | short head lines     | 65536   |
      | one header           | 65536   |
      | one status line      | 65536   |
      | blank lines          | 65536   |
      | interim answers      | 65536   |
      | chunk size           | 16384   |
      | chunk extension      | 16384   |
      | trailers             | 16384   |
      | one trailer          | 16384   |
      | an error's body      | 1048576 |
      | an error's chunks    | 1048576 |

  Scenario Outline: a legal answer near a limit is taken for an endless one: <form>
    Then an answer with <form> passes, wherever it is cut

    Examples:
      | form                    |
      | a head of 30 kB         |
      | 100 interim answers     |
      | 10 blank lines          |
      | 900 headers             |
      | small chunks            |
      | a chunk extension       |
      | trailers                |
      | an error's body         |

  Scenario Outline: a head that trickles is waited for until the deadline: <form>
    Then <form> that arrive one every <gap> s end the attempt after <seconds> s

    Examples:
      | form        | gap  | seconds |
      | head lines  | 0.05 | 3       |
      | blank lines | 0.05 | 3       |

  Scenario: a final head that follows an interim answer late is not cut off
    Then a head that comes 20 s after an interim answer is accepted

  Scenario Outline: a caller gets nothing while one server sends <form> without end
    Given a gateway before two plain servers
    And a server that sends <form> without end, and one that answers
    When through the gateway a caller sends a request to "/again/"
    Then within 2 s the answer is 200, from the other server

    Examples:
      | form            |
      | head lines      |
      | one header      |
      | blank lines     |
      | interim answers |
      | chunk size      |
      | trailers        |
      | an error's body |
