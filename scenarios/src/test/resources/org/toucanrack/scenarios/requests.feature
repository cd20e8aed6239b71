Feature: What each request is promised

  @known-red
  Scenario: A killed entry VM loses no order twice and refuses truthfully
    Given a deployment in which each customer may send 200 requests per second
    When "press" sends 60 orders with tickets and 120 reads over all entry VMs
    And entry VM "a2" is killed meanwhile
    Then no order ran twice
    And no request that was refused as not run has run
    And all requests to the surviving entry VMs had an outcome
    And no backend server saw a key or ran more than its slots

  Scenario: A paused owner does not exceed the slots when it wakes
    Given a deployment in which each customer may send 200 requests per second
    When entry VM "a1" is paused for 14 seconds while "press" sends 150 reads to "a2" and "b1"
    And entry VM "a1" is resumed and "press" sends 60 reads to it at once
    Then no backend server saw a key or ran more than its slots
    And no request that was refused as not run has run

  Scenario: One customer cannot exceed its rate by spreading over entry VMs
    Given a deployment in which each customer may send 20 requests per second
    When "press" sends 100 requests per second for 5 seconds over all entry VMs
    Then at most 20 requests per second and a burst of 20 have run
    And at least 80 percent of what the rate allows was served

  Scenario: A withdrawn key stops working on connections that are already open
    Given a deployment in which each customer may send 200 requests per second
    When the key of "press" is withdrawn while it sends reads
    Then its requests are refused everywhere within 5 seconds

  Scenario: A leaving backend server gets no new work
    Given a deployment in which each customer may send 200 requests per second
    When the busiest backend server starts to drain while "press" sends reads for 6 seconds
    Then it started nothing later than 3 seconds after

  Scenario: A planned stop cuts no request in flight
    Given a deployment in which each customer may send 200 requests per second
    And backend servers take 800 ms for a request
    When entry VM "a2" is stopped on plan while "press" has 4 reads in flight there
    Then all its requests were served
    And entry VM "a2" has ended
