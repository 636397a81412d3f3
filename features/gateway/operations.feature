Feature: operators see what a gateway does, and why

  Background:
    Given a gateway before two plain servers

  Scenario Outline: the <target> is shown
    When through the gateway a caller sends 5 requests to "/once/" on one connection
    Then "<target>" shows "<text>"

    Examples:
      | target      | text                                                                  |
      | /metrics    | ramppin_gateway_requests_total{service="plain",status="200"} 5.0      |
      | /metrics    | ramppin_gateway_attempts_total{end="delivered",service="plain"} 5.0   |
      | /metrics    | ramppin_gateway_first_byte_seconds_count{service="plain"} 5.0         |
      | /metrics    | ramppin_gateway_open_servers{service="plain"} 2.0                     |
      | /metrics    | ramppin_gateway_log_up{table="servers"} 1.0                           |
      | /dump       | "version": 1                                                          |
      | /dump       | "failure_domain"                                                      |
      | /explain/r4 | "end": "delivered"                                                    |

  Scenario: no key of a caller is shown
    When through the gateway a caller sends 5 requests to "/once/" on one connection
    Then neither "/dump" nor "/metrics" nor "/explain/r4" shows "key-choir"

  Scenario Outline: three kinds of failed request lead to their cause: <script>
    Given backend servers that answer by "<script>"
    When through the gateway a caller sends a request to "<route>"
    Then "/explain/a1" shows "<text>"
    And the log's lines about "a1" show "<text>"

    Examples:
      | script   | route   | text                  |
      | rejected | /once/  | "end":"rejected"      |
      | reset    | /once/  | connection lost       |
      | silent   | /brief/ | "end":"timed out"     |

  Scenario: a request under which servers ended is shown, and runs again by an operator's word
    When a request is refused since 3 servers ended under it
    Then "/dump" shows ""fingerprint": "00000000000000ab""
    And an operator who asks "<method> <target>" gets <status> "<text>"
      | method | target                             | status | text              |
      | GET    | /quarantine/clear/00000000000000ab | 405    | Allow: POST       |
      | POST   | /quarantine/clear/ab               | 400    | 16 hex digits     |
      | POST   | /quarantine/clear/00000000000000cd | 200    | "cleared": false  |
      | POST   | /quarantine/clear/00000000000000ab | 200    | "cleared": true   |
    And the request is sent again, and a line tells "quarantine_cleared"
