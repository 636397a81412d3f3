Feature: bytes without end fill no process and delay no one else

  Scenario Outline: a process kept all that <who> sent without end: <form>
    # Its memory ran out, and the requests of others ended with it.
    Given a gateway process before the servers "i-1 i-2"
    When bytes without end are sent for 2 s by <who>: <form>
    Then the process has grown by 16 MB at most
    And meanwhile requests at "i-2" were answered within 1 s each

    Examples:
      | who          | form            |
      | a server     | head lines      |
      | a server     | one header      |
      | a server     | interim answers |
      | a server     | a chunk line    |
      | a server     | a trailer       |
      | a caller     | head lines      |
      | a caller     | one header      |
      | a caller     | blank lines     |
      | a caller     | a chunk line    |
      | a caller     | a trailer       |
      | a prober     | one header      |
      | another VM   | one header      |
      | the store    | head lines      |
      | the store    | one header      |
      | the store    | a chunk line    |
