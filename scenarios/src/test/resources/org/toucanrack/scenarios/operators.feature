Feature: What operators are promised

  @known-red
  Scenario: Open routes go on and keyed routes are refused truthfully while the store is down
    Given a deployment in which each customer may send 200 requests per second
    When the store is down for 9 seconds
    Then after 6 seconds open reads are served by all entry VMs
    And keyed reads are refused as not run
    And keyed reads are served again within 15 seconds

  Scenario: A failure domain that is cut off serves open routes and adopts the withdrawal on healing
    Given a deployment in which each customer may send 200 requests per second
    When failure domain "beta-a" is cut off
    And the key of "studio" is withdrawn
    Then entry VM "c1" refuses keyed reads of "studio" within 5 seconds
    And entry VM "c1" serves open reads
    When the partition heals
    Then entry VM "c1" serves keyed reads of "press" within 15 seconds
    And entry VM "c1" refuses keyed reads of "studio" within 1 seconds

  Scenario: Of two operators that apply at once one is told of the conflict
    Given a deployment in which each customer may send 200 requests per second
    When two operators grant keys at the same time, based on the same version
    Then every accepted change is in the current configuration

  Scenario: An accepted change survives the loss of its answer
    Given a deployment in which each customer may send 200 requests per second
    When the next 2 answers to writes are lost and the key of "press" is withdrawn
    Then its requests are refused everywhere within 5 seconds
