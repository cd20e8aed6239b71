package org.toucanrack.scenarios;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.toucanrack.scenarios.fleet.Caller;
import org.toucanrack.scenarios.fleet.CommandResult;
import org.toucanrack.scenarios.fleet.Fleet;

/** Steps for changes of operators, outages of the platform and network partitions. */
public final class OperatorSteps {

  private final World world = new World();
  private final List<String> grantedKeyNames = new ArrayList<>();
  private String withdrawnCustomer;

  @When("the key of {string} is withdrawn after every entry VM served a read with it")
  public void withdrawAfterUse(String customer) {
    world
        .fleet()
        .vmNames()
        .forEach(vm -> assertEquals(200, world.sendKeyedRead(vm, customer).status()));
    withdraw(customer);
  }

  @When("the key of {string} is withdrawn")
  public void withdraw(String customer) {
    withdrawnCustomer = customer;
    world.fleet().runCommand("key", "withdraw", "--name", customer + "-key").expectExit(0);
  }

  @Then("every entry VM refuses its requests within {int} seconds")
  public void everyVmRefuses(int seconds) {
    for (String vm : world.fleet().vmNames()) {
      awaitRefusal(vm, withdrawnCustomer, seconds);
    }
  }

  @Then("entry VM {string} refuses keyed reads of {string} within {int} seconds")
  public void refusesKeyedReads(String vm, String customer, int seconds) {
    awaitRefusal(vm, customer, seconds);
  }

  private void awaitRefusal(String vm, String customer, int seconds) {
    world
        .fleet()
        .await(
            vm + " refuses " + customer,
            Duration.ofSeconds(seconds),
            () -> {
              Caller.RecordedResponse response = world.sendKeyedRead(vm, customer);
              return response.isNotRun() && (response.status() == 401 || response.status() == 503);
            });
  }

  @Then("entry VM {string} serves keyed reads of {string} within {int} seconds")
  public void servesKeyedReads(String vm, String customer, int seconds) {
    world
        .fleet()
        .await(
            vm + " serves " + customer,
            Duration.ofSeconds(seconds),
            () -> world.sendKeyedRead(vm, customer).isServed());
  }

  @Then("entry VM {string} serves open reads")
  public void servesOpenReads(String vm) {
    Caller.RecordedResponse response = sendOpenRead(vm);
    assertTrue(response.isServed(), response.toString());
  }

  private Caller.RecordedResponse sendOpenRead(String vm) {
    return world.send(vm, "GET", "/catalogue/public/x", Optional.empty(), Optional.empty()).join();
  }

  @When("the store is down for {int} seconds")
  public void startStoreOutage(int seconds) {
    world.fleet().setPlatformFaults("{\"outageMillis\":" + seconds * 1000 + "}");
  }

  @Then("all entry VMs serve open reads after {int} seconds")
  public void openReadsAreServedAfter(int seconds) {
    Fleet.pause(seconds * 1000L);
    world.fleet().vmNames().forEach(this::servesOpenReads);
  }

  @Then("keyed reads are refused with the verdict not-run")
  public void keyedReadsAreRefused() {
    for (String vm : world.fleet().vmNames()) {
      Caller.RecordedResponse response = world.sendKeyedRead(vm, "press");
      assertTrue(response.isNotRun() && response.status() == 503, response.toString());
    }
  }

  @Then("keyed reads are served again within {int} seconds")
  public void keyedReadsAreServed(int seconds) {
    world.fleet().vmNames().forEach(vm -> servesKeyedReads(vm, "press", seconds));
  }

  @When("failure domain {string} is cut off")
  public void cutOff(String failureDomain) {
    world.fleet().cutOff(failureDomain);
  }

  @When("the partition heals")
  public void healPartition() {
    world.fleet().heal();
  }

  @When("three operators grant keys concurrently")
  public void grantKeysConcurrently() {
    Fleet fleet = world.fleet();
    List<CompletableFuture<Void>> grants = new ArrayList<>();
    for (String name : List.of("first", "second", "third")) {
      grants.add(CompletableFuture.runAsync(() -> grantKey(fleet, name)));
    }
    grants.forEach(CompletableFuture::join);
  }

  private void grantKey(Fleet fleet, String name) {
    CommandResult result = fleet.runCommand("key", "grant", "--customer", "press", "--name", name);
    if (result.exitCode() == 0) {
      synchronized (grantedKeyNames) {
        grantedKeyNames.add(name);
      }
    } else {
      result.expectExit(3);
    }
  }

  @Then("every accepted change is in the current configuration")
  public void everyAcceptedChangeIsCurrent() {
    String current = world.fleet().runCommand("get").expectExit(0).output();
    assertTrue(!grantedKeyNames.isEmpty(), "no change was accepted");
    grantedKeyNames.forEach(name -> assertTrue(current.contains("\"" + name + "\""), current));
  }

  @When("the key of {string} is withdrawn while the next {int} commit responses are lost")
  public void withdrawWithLostResponses(String customer, int count) {
    world.fleet().setPlatformFaults("{\"loseCommitAnswers\":" + count + "}");
    withdraw(customer);
  }
}
