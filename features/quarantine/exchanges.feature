Feature: what a caller gets whose request is under suspicion

  Scenario Outline: a request <known>, at servers that <do>
    Given a gateway before two servers that <do>
    When a request that is <known> is sent
    Then its caller gets <status>, <pause>, and <reached> servers were reached

    Examples:
      | known                    | do               | status | pause              | reached |
      | not known                | answer           | 200    | no time            | 1       |
      | refused                  | answer           | 503    | 50 s at least      | 0       |
      | lost by another copy     | answer           | 200    | no time            | 1       |
      | lost by another copy     | reject it first  | 200    | no time            | 2       |
      | lost by another copy     | reset it first   | 502    | no time            | 1       |
      | not known                | reset it first   | 200    | no time            | 2       |
      | served before, then lost | reset it first   | 200    | no time            | 2       |
