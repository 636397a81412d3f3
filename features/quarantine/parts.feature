Feature: parts of prompts that crash servers

  Scenario Outline: parts of a prompt: <what>
    Then the parts of "<header>" are "<ids>"

    Examples: ids are hexadecimal numbers
      | what                    | header               | ids      |
      | one                     | 5c1e:800             | 5c1e     |
      | three, the last its own | 5c:8,91:4,e4:2       | 5c 91 e4 |
      | without tokens          | 5c,91                | 5c 91    |
      | upper and lower case    | 5C:8,aB:4            | 5c ab    |
      | with a prefix           | 0x5c:8,0X91:4        | 5c 91    |
      | with leading zeros      | 000000000000005c:8,0 | 5c 0     |
      | with spaces             | 5c:8 , 91 :4         | 5c 91    |
      | empty ones              | ,5c:8,,:4            | 5c       |
      | none                    | ,                    |          |

  Scenario Outline: crashes under attributes: <what>
    When servers crash one a second under "<attributes>"
    Then "<refused>" are refused, "<tied>" of them tied

    Examples: each is NAME:SERVERS, by the letters of seconds; * succeeded before, other: no attribute
      | what                                        | attributes                | refused   | tied      |
      | one at each                                 | bad:abc                   | bad       |           |
      | one at two                                  | bad:ab                    |           |           |
      | a harmless one at three of four             | bad:abcd sound:abd        | bad       |           |
      | two at the same                             | bad:abc twin:abc          | bad twin  | bad twin  |
      | two at the same, then one of them           | bad:abcd twin:abc         | bad       |           |
      | two at two of the same                      | bad:abc mate:bcd          | bad mate  | bad mate  |
      | two bad ones                                | bad:ace worse:bdf         | bad worse |           |
      | three, and another crash before             | bad:bcd other:a           |           |           |
      | three, and another crash between            | bad:abd other:c           |           |           |
      | three, and another crash after              | bad:abc other:d           | bad       |           |
      | three, and another crash long before        | bad:hij other:a           | bad       |           |
      | four, and another crash before              | bad:bcde other:a          | bad       |           |
      | a popular one at eight                      | pop*:abcdefgh             | pop       |           |
      | a popular one at eight, another before      | pop*:bcdefghi other:a     |           |           |
      | a popular one at eight, a bad one at four   | pop*:abcdefgh bad:efgh    | bad       |           |
      | a popular one at eight, a bad one at all    | pop*:abcdefgh bad:abcdefgh | bad      |           |

  Scenario Outline: of two tied attributes, a prompt with <held> is <state> after <seconds> s
    When servers crash one a second under "bad:abc sound:abc"
    Then a request with "<held>" is <state> after <seconds> s

    Examples: one prompt with one of them shows which is the cause
      | held      | seconds | state   |
      | bad sound | 59.9    | refused |
      | bad sound | 60      | sent    |
      | sound     | 0.9     | refused |
      | sound     | 1.0     | sent    |
      | other     | 0       | sent    |

  Scenario Outline: a trial tells tied attributes apart: a prompt with <held> <does>
    When servers crash one a second under "bad:abc sound:abc"
    And a prompt with "<held>" on trial <does>
    Then "<refused>" are refused, "" of them tied

    Examples:
      | held  | does              | refused |
      | sound | is answered       | bad     |
      | bad   | crashes its server | bad    |

  Scenario: a success between two crashes that other VMs observed is known to have been between them
    When a VM serves a part between two crashes, of which others tell it later
    Then it counts only the second one, and tells the others

  Scenario: in random runs bad parts are refused after five crashes, and sound ones are not
    Then in 400 random runs 0.99 of the bad parts are refused at all VMs after 5 crashes at most
    And no bad part reaches servers more than 3 times long after its fifth crash
    And of 10000 sound prompts at most 1 is refused

  Scenario: in random runs bad parts crash five servers at most, those in flight included
    Then in 400 random runs 0.99 of the bad parts crash 5 servers at most

  Scenario Outline: attributes of a prompt: <what>
    Then a prompt with the parts "<header>" has <count> parts that may be blamed

    Examples: the last part is the request's own
      | what                            | header            | count |
      | none                            |                   | 0     |
      | one                             | 5c:8              | 0     |
      | two                             | 5c:8,91:4         | 1     |
      | the same twice                  | 5c:8,0x5C:9,91:4  | 1     |
      | the last one before, as well    | 91:8,5c:8,91:4    | 2     |
      | commas alone                    | ,,,               | 0     |
      | no hexadecimal number           | zz:8,~~:9,91:4    | 2     |

  Scenario: a part is the same with other tokens, and another one for another service
    Then the keys of "5c:8,91:4" and "5C:700,92:4" for one service are equal
    And those of "5c:8,91:4" for two services are not

  Scenario: a caller who crashes servers with prompts of 400 new parts each hides no other bad part
    When two servers crash under a part, then 25 under prompts of 400 new parts each
    Then at most 2048 attributes are recorded, and a fourth crash has the part refused

  Scenario: a part at whose crashes others were recorded meanwhile is not evicted
    When a server crashes under a part every 1500 new attributes
    Then the fourth crash has the part refused

  Scenario: a request with 400 parts that is sent again is refused after the third crash
    When three servers crash under a request with 400 parts
    Then the request is refused

  Scenario: a bad part among 400 is refused
    When servers crash under one of the 400 parts of a prompt until it is refused
    Then that is after 40 crashes at most, and no other part is refused

  Scenario Outline: the suspect of a prompt with <held>: <what>
    When servers crash one a second under "<attributes>"
    Then the suspect of a request with "<held>" is "<suspect>"

    Examples: requests with the same suspect go to one server
      | what                            | attributes        | held      | suspect |
      | it was at a crash               | new:a             | new       | new     |
      | it was at none                  | new:a             | other     |         |
      | it succeeded before             | pop*:ab           | pop       |         |
      | it succeeded before three       | pop*:abc          | pop       | pop     |
      | the one with more crashes       | new:a bad:ab      | new bad   | bad     |
      | a refused one explains its own  | bad:abc new:ab    | new       |         |

  Scenario Outline: a prompt with <held> that was lost at <own> is <state> again
    When servers crash one a second under "<attributes>"
    Then a request with "<held>" that was lost at "<own>" is <state> again

    Examples: sound prompts that are lost beside a bad one run elsewhere
      | attributes     | held | own | state    |
      | new:a          | new  | a   | sent     |
      | new:ab         | new  | b   | not sent |
      | pop*:ab        | pop  | b   | sent     |
      | bad:abc new:ab | new  | b   | sent     |
      | bad:abc        | bad  | c   | not sent |
      | pop*:abcdefgh  | pop  | h   | not sent |

  Scenario Outline: a part after two crashes, <what>, then a third crash
    When two servers crash under a part, then a prompt with it <what>, then a third crashes
    Then the part is <state>

    Examples: an error may be answered before the prompt is read
      | what                    | state   |
      | does not come           | refused |
      | is answered             | sent    |
      | is answered by an error | refused |

  Scenario Outline: of several prompts with a part at a server the one sent last counts
    When a server crashes, and then one with prompts with its part sent at <times> s
    Then two crashes one after the other count

    Examples: the first server crashed at 1 s
      | times   |
      | 0.2 1.5 |
      | 1.5 0.2 |

  Scenario: what was in flight at several crashes is sent to other VMs first, with its id
    When 60 attributes were in flight at one crash, and a part at three
    Then the first message has the part and its id, and names 24 servers and records at most

  Scenario Outline: a VM that served a part is told of a crash under it, and <what>
    When a VM that served a part is told of a crash by one that did not, and <what>
    Then it sends nothing out of turn, and <sends> with its next message

    Examples: in a large fleet many VMs can correct it
      | what                          | sends   |
      | nothing else                  | it      |
      | then of a success by another  | nothing |
