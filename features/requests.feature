Feature: Every request ends in exactly one truthful outcome

  Scenario Outline: Callers receive complete answers to their own requests
    Given the deployment "<deployment>"
    And <condition>
    When 60 requests of random classes are sent over 6 seconds
    Then every answer is complete and belongs to its request
    And no request is lost and no non-idempotent request is started twice

    Examples:
      | deployment | condition                               |
      | muida      | answers of 1300000 bytes                |
      | lunetta    | packets that arrive out of order        |
      | muida      | 20 percent of packets lost              |
      | lunetta    | silent connections                      |
      | muida      | the store down throughout the run       |
      | muida      | an agent killed after 2 seconds         |
      | lunetta    | the regions partitioned after 2 seconds |

  Scenario: A request refused as "not run" was never started
    Given the deployment "muida"
    When 900 requests of random classes are sent over 3 seconds
    Then some requests are refused
    And no refused request was ever started

  Scenario: A dispatch that arrives after its tombstone is refused
    Given an agent that runs one request at a time
    When a request is withdrawn before its dispatch arrives
    Then the agent replies that the request was not run
    And the dispatch that arrives later is refused
    And the backend server has started nothing

  Scenario Outline: Non-idempotent work runs at most once
    Given the deployment "muida"
    And <condition>
    When a profile scan is retried with its key after its entry was killed
    Then the scan was started at most once
    And the retry ends in an outcome

    Examples:
      | condition                            |
      | no fault                             |
      | the store down throughout the run    |
      | the agent of the scan killed as well |
      | silent connections                   |

  Scenario: Requests on silent connections are queried again within two seconds
    Given the deployment "lunetta"
    When every connection between entries and agents goes silent
    Then requests sent afterwards are answered within 2.5 seconds

  Scenario: A draining agent gets no new work and finishes what it runs
    Given the deployment "muida"
    When an agent drains under load
    Then it is sent no dispatch more than 3 seconds into its drain
    And no request is lost and no non-idempotent request is started twice

  Scenario: A drain that times out reports the unfinished requests
    Given the deployment "muida"
    When an agent with endless work drains with a timeout of 5 seconds
    Then the drain ends after 5 seconds and reports 1 unfinished request

  Scenario: A slot is freed when the caller of its request disconnects
    Given the deployment "muida"
    When the caller of a wear report disconnects
    Then the slot is free within 1 second

  Scenario: Retries stay within their budget
    Given the deployment "muida"
    And every backend server fails
    When 600 requests of random classes are sent over 30 seconds
    Then at most 25 percent of the requests were retried
