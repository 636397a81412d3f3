Feature: what is known of a stream's origin is never wrong

  Scenario: random losses, restarts, suspensions and forged names never let a stream go on at another build
    Then in 300 random runs of fleets that keep origins no answer names another build
    And 0.97 of the questions are answered where a VM that was told lives

  Scenario Outline: a service counts as one of several builds: <case>
    Then after "<seen>" the service is <mixed> at <at> s

    Examples:
      | case                               | seen                       | at   | mixed |
      | one build                          | 0 v1, 10 v1                | 10   | pure  |
      | two at one time                    | 0 v1 v2                    | 0    | mixed |
      | one after the other                | 0 v1, 5 v2                 | 5    | mixed |
      | the older one is long gone         | 0 v1, 5 v2, 70 v2          | 70   | pure  |
      | reported by another VM             | 0 v1, 1 report             | 2    | mixed |
      | reported long ago                  | 0 v1, 1 report, 9 v1       | 9    | pure  |
      | entries without a build            | 0 none, 3 none             | 3    | pure  |
      | an entry without a build beside v1 | 0 none v1                  | 0    | mixed |

  Scenario: an id that is used again at another build is refused from then on
    Then a stream noted at "v1" and again at "v1" is found at "v1"
    And a stream noted at "v1" and again at "v2" is found at ""

  Scenario: equal ids of two customers are two streams
    Then the keys of "a1" of "choir" and of "band" differ

  Scenario: what is kept is bounded
    Then after 30000 streams 20000 are kept, the newest

  Scenario Outline: who has not answered is asked again and not spoken for: <answers>
    Then a question that three VMs answer with "<answers>" brings "<build>"

    Examples:
      | answers         | build |
      | ? v1 ?          | v1    |
      | ? ? ?           | none  |
      | ? - ?, ? v1 ?   | v1    |
      | - - -, - - v1   | v1    |
      | ? - ?, ? - ?    | none  |
