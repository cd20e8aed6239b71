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

/** Steps on operators' changes, outages and partitions. */
public final class OperatorSteps {

  private final World world = new World();
  private final List<String> granted = new ArrayList<>();
  private String withdrawn;

  @When("the key of {string} is withdrawn while it sends reads")
  public void withdrawUnderLoad(String customer) {
    world.fleet().vmNames().forEach(vm -> assertEquals(200, world.read(vm, customer).status()));
    withdraw(customer);
  }

  @When("the key of {string} is withdrawn")
  public void withdraw(String customer) {
    withdrawn = customer;
    world.fleet().command("key", "withdraw", "--name", customer + "-key").expectExit(0);
  }

  @Then("its requests are refused everywhere within {int} seconds")
  public void refusedEverywhere(int seconds) {
    for (String vm : world.fleet().vmNames()) {
      awaitRefusal(vm, withdrawn, seconds);
    }
  }

  @Then("entry VM {string} refuses keyed reads of {string} within {int} seconds")
  public void refuses(String vm, String customer, int seconds) {
    awaitRefusal(vm, customer, seconds);
  }

  private void awaitRefusal(String vm, String customer, int seconds) {
    world
        .fleet()
        .await(
            vm + " refuses " + customer,
            Duration.ofSeconds(seconds),
            () -> {
              Caller.Answer answer = world.read(vm, customer);
              return answer.isNotRun() && (answer.status() == 401 || answer.status() == 503);
            });
  }

  @Then("entry VM {string} serves keyed reads of {string} within {int} seconds")
  public void servesKeyed(String vm, String customer, int seconds) {
    world
        .fleet()
        .await(
            vm + " serves " + customer,
            Duration.ofSeconds(seconds),
            () -> world.read(vm, customer).isServed());
  }

  @Then("entry VM {string} serves open reads")
  public void servesOpen(String vm) {
    Caller.Answer answer = openRead(vm);
    assertTrue(answer.isServed(), answer.toString());
  }

  private Caller.Answer openRead(String vm) {
    return world.send(vm, "GET", "/catalogue/public/x", Optional.empty(), Optional.empty()).join();
  }

  @When("the store is down for {int} seconds")
  public void storeDown(int seconds) {
    world.fleet().platformFault("{\"outageMillis\":" + seconds * 1000 + "}");
  }

  @Then("after {int} seconds open reads are served by all entry VMs")
  public void openReadsGoOn(int seconds) {
    Fleet.pause(seconds * 1000L);
    world.fleet().vmNames().forEach(this::servesOpen);
  }

  @Then("keyed reads are refused as not run")
  public void keyedReadsRefused() {
    for (String vm : world.fleet().vmNames()) {
      Caller.Answer answer = world.read(vm, "press");
      assertTrue(answer.isNotRun() && answer.status() == 503, answer.toString());
    }
  }

  @Then("keyed reads are served again within {int} seconds")
  public void keyedReadsServed(int seconds) {
    world.fleet().vmNames().forEach(vm -> servesKeyed(vm, "press", seconds));
  }

  @When("failure domain {string} is cut off")
  public void cutOff(String domain) {
    world.fleet().cutOff(domain);
  }

  @When("the partition heals")
  public void heal() {
    world.fleet().heal();
  }

  @When("two operators grant keys at the same time, based on the same version")
  public void raceOperators() {
    Fleet fleet = world.fleet();
    List<CompletableFuture<Void>> operators = new ArrayList<>();
    for (String name : List.of("first", "second", "third")) {
      operators.add(CompletableFuture.runAsync(() -> grant(fleet, name)));
    }
    operators.forEach(CompletableFuture::join);
  }

  private void grant(Fleet fleet, String name) {
    CommandResult result = fleet.command("key", "grant", "--customer", "press", "--name", name);
    if (result.exitCode() == 0) {
      synchronized (granted) {
        granted.add(name);
      }
    } else {
      result.expectExit(3);
    }
  }

  @Then("every accepted change is in the current configuration")
  public void acceptedChangesRemain() {
    String current = world.fleet().command("get").expectExit(0).output();
    assertTrue(!granted.isEmpty(), "at least one operator wins");
    granted.forEach(name -> assertTrue(current.contains("\"" + name + "\""), current));
  }

  @When("the next {int} answers to writes are lost and the key of {string} is withdrawn")
  public void withdrawWithLostAnswer(int count, String customer) {
    world.fleet().platformFault("{\"loseCommitAnswers\":" + count + "}");
    withdraw(customer);
  }
}
