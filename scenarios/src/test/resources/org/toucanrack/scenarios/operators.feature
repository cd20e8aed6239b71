Feature: What operators are promised

  Scenario: Open routes go on and keyed routes are refused truthfully while the store is down
    Given a deployment in which each customer may send 200 requests per second
    When the store is down for 9 seconds
    Then all entry VMs serve open reads after 6 seconds
    And keyed reads are refused with the verdict not-run
    And keyed reads are served again within 15 seconds

  @known-red
  Scenario: A failure domain that is cut off serves open routes and applies the key withdrawal after the partition heals
    Given a deployment in which each customer may send 200 requests per second
    When failure domain "beta-a" is cut off
    And the key of "studio" is withdrawn
    Then entry VM "c1" refuses keyed reads of "studio" within 5 seconds
    And entry VM "c1" serves open reads
    When the partition heals
    Then entry VM "c1" serves keyed reads of "press" within 15 seconds
    And entry VM "c1" refuses keyed reads of "studio" within 1 seconds

  Scenario: Concurrent changes of operators are either applied or refused as a conflict
    Given a deployment in which each customer may send 200 requests per second
    When three operators grant keys concurrently
    Then every accepted change is in the current configuration

  Scenario: An accepted change survives the loss of its response
    Given a deployment in which each customer may send 200 requests per second
    When the key of "press" is withdrawn while the next 2 commit responses are lost
    Then every entry VM refuses its requests within 5 seconds
