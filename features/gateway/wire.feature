Feature: the gateway passes requests and answers through unchanged

  Background:
    Given a gateway before two plain servers

  Scenario Outline: requests arrive unchanged: <what>
    When through the gateway a caller sends "<method>" to "<path>" with a body of <size> bytes framed by <framing>
    Then the answer is 200 and whole
    And one backend server got "<method> <path>" with the same body
    And it got the customer "choir", the server's id, and no key

    Examples:
      | what          | method | path                  | size | framing |
      | no body       | GET    | /once/a               | 0    | nothing |
      | empty body    | POST   | /once/a?b=c%20d       | 0    | length  |
      | a length      | POST   | /once/a/../b//c?x=/.. | 900  | length  |
      | chunks        | PUT    | /once/%7Efoo          | 900  | chunks  |
      | other method  | DELETE | /once/                | 10   | length  |

  Scenario Outline: what can't be served is refused at once: <what>
    When through the gateway a caller sends the bytes of "<request>"
    Then the answer is <status>
    And no backend server got anything

    Examples:
      | what                   | request        | status |
      | unknown host           | other host     | 404    |
      | unknown path           | no route       | 404    |
      | no key                 | no key         | 401    |
      | wrong key              | wrong key      | 401    |
      | header too large       | large header   | 431    |
      | body too large         | large body     | 413    |
      | body too large, chunks | large chunks   | 413    |
      | length and chunks      | smuggled       | 400    |
      | two lengths            | two lengths    | 400    |
      | no HTTP                | noise          | 400    |

  Scenario Outline: a head in two pieces is limited by its own size: <what>
    When through the gateway a caller sends a head of <head> bytes in two pieces and a body of <body> bytes
    Then the answer is <status>

    Examples:
      | what                        | head | body | status |
      | a small head, no body       | 600  | 0    | 200    |
      | a small head, a large body  | 600  | 4900 | 200    |
      | a large head                | 2600 | 0    | 431    |
      | a large head and body       | 2600 | 4900 | 431    |

  Scenario: a head that does not end is refused at its limit
    When through the gateway a caller sends a header of 9000 bytes without its end
    Then the answer is 431

  Scenario Outline: a VM kept all bytes of a request that does not end: <part>
    # The parser keeps a line until its end, and a trailer has none.
    When through the gateway a caller sends a chunked body with <part> of <size> bytes that <ends>
    Then the answer is <status>

    Examples: the limit of a head is 2000 bytes
      | part         | size  | ends    | status |
      | a trailer    | 90000 | goes on | 431    |
      | a chunk line | 90000 | goes on | 431    |
      | trailers     | 90000 | goes on | 431    |
      | a trailer    | 90000 | ends    | 431    |
      | a chunk line | 90000 | ends    | 431    |
      | a trailer    | 900   | ends    | 200    |
      | a chunk line | 900   | ends    | 200    |

  Scenario Outline: a caller that stops sending is not waited for: <sent>
    When through the gateway a caller sends "<sent>" and stops
    Then after <limit> without a byte the connection ends with <end>

    Examples:
      | sent                       | limit               | end |
      | nothing                    | the idle timeout    | 0   |
      | blank lines                | the header timeout  | 408 |
      | half a head                | the header timeout  | 408 |
      | half a body                | the idle timeout    | 408 |
      | a request, half a head     | the header timeout  | 408 |

  Scenario Outline: a request that is refused unread leaves a line: <request>
    When through the gateway a caller sends the bytes of "<request>"
    Then the gateway's log has a line "refused" with the status <status> and "<reason>"

    Examples:
      | request      | status | reason                         |
      | large header | 431    | head over 2000 bytes           |
      | large body   | 413    | body over 5000 bytes           |
      | noise        | 400    | bytes that form no request     |

  Scenario: a public route needs no key
    When through the gateway a caller sends the bytes of "public"
    Then the answer is 200

  Scenario Outline: a backend server's misbehaviour reaches no caller: <script>
    Given backend servers that answer by "<script>"
    When through the gateway a caller sends a request to "<route>"
    Then the answer is <status> and <whole>
    And the body is "<body>"
    And at most <runs> requests were received

    Examples:
      | script                 | route    | status | whole  | body   | runs |
      | unframed               | /once/   | 200    | closed | answer | 1    |
      | unframed, identity     | /once/   | 200    | closed | answer | 1    |
      | unframed reset         | /once/   | 502    | whole  |        | 1    |
      | broken off             | /once/   | 502    | whole  |        | 1    |
      | reset                  | /once/   | 502    | whole  |        | 1    |
      | reset                  | /again/  | 502    | whole  |        | 2    |
      | reset then well        | /again/  | 200    | whole  | answer | 2    |
      | noise                  | /once/   | 502    | whole  |        | 1    |
      | unsigned               | /once/   | 502    | whole  |        | 1    |
      | encoded                | /once/   | 502    | whole  |        | 1    |
      | another's answer first | /once/   | 200    | whole  | answer | 1    |
      | interim first          | /once/   | 200    | whole  | answer | 1    |
      | own error              | /once/   | 500    | whole  | wrong  | 1    |
      | own error              | /again/  | 500    | whole  | wrong  | 2    |
      | error then well        | /again/  | 200    | whole  | answer | 2    |
      | rejected               | /once/   | 503    | whole  |        | 4    |
      | rejected then well     | /once/   | 200    | whole  | answer | 2    |
      | reset then rejected    | /again/  | 502    | whole  |        | 4    |
      | misdirected then well  | /once/   | 200    | whole  | answer | 2    |
      | silent                 | /brief/  | 504    | whole  |        | 1    |
      | silent then well       | /again/  | 200    | whole  | answer | 2    |
      | silent                 | /hasty/  | 504    | whole  |        | 2    |

  Scenario Outline: an answer without a body ends with its head: <method>, <script>
    Given backend servers that answer by "<script>"
    When through the gateway a caller sends "<method>" to "<route>" twice on one connection
    Then each is answered with <status> and the length "<length>" within 1 s

    Examples:
      | method | script                | route    | status | length |
      | HEAD   | a head with a length  | /again/  | 200    | 6      |
      | HEAD   | a head alone          | /again/  | 200    | none   |
      | HEAD   | a head with chunks    | /once/   | 200    | none   |
      | HEAD   | a head with a length  | /stream/ | 200    | 6      |
      | POST   | no content            | /again/  | 204    | none   |
      | POST   | no content            | /stream/ | 204    | none   |

  Scenario: a surplus answer never reaches the next request
    Given backend servers that answer by "twice"
    When through the gateway a caller sends 6 requests to "/again/" on one connection
    Then each answer is 200 with its own id

  Scenario Outline: a connection that carried a surplus answer is closed: <script>
    Given backend servers that answer by "<script>"
    When through the gateway a caller sends 3 requests to "/again/" on one connection
    Then every connection to backend servers ends

    Examples:
      | script        |
      | twice         |
      | twice at once |

  Scenario: kept connections stay within this VM's share
    Given backend servers that answer by "on demand"
    And servers that take 2 connections in all
    When 6 callers have requests at "/once/" that end together
    Then at most 1 connection to each backend server is kept

  Scenario: an answer before the whole body ends the connection's use
    Given backend servers that answer by "well"
    When through the gateway a caller sends 4 requests to "/again/" on one connection
    Then at most 2 connections reached backend servers

  Scenario: requests sent ahead are answered in order
    When through the gateway a caller sends 3 requests to "/again/" at once on one connection
    Then each answer is 200 with its own id

  Scenario Outline: a refusal says when to come back only where nothing ran: <script>
    Given backend servers that answer by "<script>"
    When through the gateway a caller sends a request to "/once/"
    Then the answer <says> when to come back

    Examples:
      | script   | says          |
      | rejected | says          |
      | reset    | does not say  |

  Scenario: a rejection after a run is no promise that nothing ran
    Given backend servers that answer by "reset then rejected"
    And a budget of 1 retry
    When through the gateway a caller sends a request to "/again/"
    Then the answer is 502
    And the answer does not say when to come back

  Scenario: a caller that disconnects ends the work of its backend server
    Given backend servers that answer by "silent"
    When through the gateway a caller sends a request to "/once/" and disconnects
    Then a backend server sees its connection close

  Scenario: an unreachable server is passed over without a run
    Given a third plain server that is announced and does not listen
    When through the gateway a caller sends 12 requests to "/once/" on one connection
    Then each answer is 200 with its own id
