Feature: a gateway process with 200 MB keeps within 60 % of it

  Scenario Outline: 1,000 callers read 1 kB a second, answers of <size> kB
    Given a gateway process with a memory limit of 200 MB
    When 1000 callers that read 1 kB a second ask for answers of <size> kB, every 10th for 64 kB
    Then its resident memory was never over 120 MB
    And the other callers were all served, their median no more than 15 ms longer
    And all answers of 64 kB are whole
    And answers that were aborted ended with a reset, and each left a line

    Examples:
      | size |
      | 200  |
      | 1000 |

  Scenario: servers stop reading request bodies
    Given a gateway process with a memory limit of 200 MB
    When 600 callers send bodies of 500 kB that their servers do not read
    Then its resident memory was never over 120 MB
    And the other callers were all served, their median no more than 15 ms longer
    And at most 90 bodies at a time were read, the others got 503 with Retry-After

  # Closing the connection with unread data resets it, and the caller may lose the answer
  # which tells it that the request did not run.
  Scenario: a refused body is read to its end
    Given a gateway process with a memory limit of 200 MB
    When 32 callers announce bodies of 1500 kB and send nothing
    Then one that sends 1900 kB before it reads gets 503 as well

  Scenario: pipelined requests whose answers are not read
    Given a gateway process with a memory limit of 200 MB
    When one caller sends 20 requests for 60 kB and reads nothing for 1 s
    Then the gateway holds at most 200 kB
    And the caller gets 20 answers of 60 kB once it reads

  # Without a budget as well: answers were kept in reference cycles, and by connections
  # until their next request. 1,000 answers of 200 kB took 188 MB in place of 68.
  Scenario: connections keep nothing of answers that were read
    Given a gateway process without a memory limit
    When 400 callers ask for answers of 200 kB, read them and stay connected
    Then its resident memory has grown by at most 35 MB

  # The connection went back to the pool paused, and its next request got no answer.
  Scenario: an answer whose last part is not read leaves its server's connection usable
    Given a gateway process without a memory limit before one server
    When a caller asks for an answer of 200 kB and reads nothing
    Then 3 requests that follow are answered within 2 s
