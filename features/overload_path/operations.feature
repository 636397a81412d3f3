Feature: operators see what waits, what was refused, and why

  Background:
    Given a gateway under overload control before a server that takes 1 request at a time
    And the queue takes 2 requests
    When "first" is sent to "/calm/", and "second" once the server has it
    And "third" is sent to "/urgent/" and waits
    And "fourth" is sent to "/calm/" and is answered at once

  Scenario Outline: <target> shows what waits
    Then "<target>" shows "<text>"

    Examples:
      | target   | text                                                                       |
      | /metrics | ramppin_gateway_waiting_requests{rank="0",service="plain"} 1.0             |
      | /metrics | ramppin_gateway_waiting_requests{rank="2",service="plain"} 1.0             |
      | /metrics | ramppin_gateway_wait_seconds_count{service="plain"} 1.0                    |
      | /metrics | ramppin_gateway_service_limit{service="plain"} 1.0                         |
      | /metrics | ramppin_gateway_service_held{service="plain"} 1.0                          |
      | /metrics | ramppin_gateway_service_share{service="plain"}                             |
      | /metrics | ramppin_gateway_overload_refusals_total{rank="2",rule="room_full",service="plain"} 1.0 |
      | /dump    | "waiting_by_rank": [1, 0, 1, 0, 0, 0, 0, 0, 0, 0]                          |
      | /dump    | "waiting_by_customer": [{"customer": "choir", "requests": 2}]              |
      | /dump    | "limit": 1.0                                                               |
      | /dump    | "source": "setting"                                                        |
      | /explain/fourth | "rule": "room_full"                                                 |
      | /explain/fourth | "ahead": 2                                                          |

  Scenario: the command line explains a refusal and a wait
    Then "ramppin explain fourth" says "refused with 503 by the rule room_full: estimated to wait" and "behind 2 requests"
    When the server answers "first"
    And the server answers "third"
    Then "ramppin explain third" says "answered by p1 with 200" and "ms in the admission queue"

  Scenario: the work of customers is counted in the time at servers
    When the server answers "first"
    Then "/metrics" shows "ramppin_gateway_customer_work_seconds_total{customer="choir"}"

  Scenario: what no longer waits is no longer shown
    When the server answers "first"
    And the server answers "third"
    And the server answers "second"
    Then "/metrics" shows "ramppin_gateway_waiting_requests{rank="0",service="plain"} 0.0"
    And "/dump" shows ""waiting_by_rank": [0, 0, 0, 0, 0, 0, 0, 0, 0, 0]"

  Scenario: a caller that left while it waited counts as left
    When the caller of "second" leaves
    Then the log's lines about "second" show ""rule":"caller_left""
    And the lines of the gateway tell 1 loss "left" by "caller left"
