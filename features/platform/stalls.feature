Feature: a process that stalled does not take its own silence for its servers'

  Streams were cut off and their callers answered 502 while no server was at fault:

    "event":"stalled","late_ms":778,"in_flight":3
    "event":"attempt_failed","end":"failed","status":200,"message":"the server went silent"

  Both lines are of one millisecond. The process had been stopped for 0.8 s. When it went on,
  its timers ran before its reads, so each stream seemed silent for longer than 0.8 s though
  its events lay in the socket. The failures were told to the other VMs as well, which then
  passed over servers that had done nothing wrong.

  Scenario: streams go on after their process was stopped
    Given a gateway process before the servers "i-1 i-2 i-3" that stream for 2.5 s
    When 2 streams begin and the process is stopped 2 times for 1.1 s
    Then each stream is whole and came from one server
    And no line says that a server went silent
