package org.toucanrack.scenarios;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.toucanrack.scenarios.fleet.Caller;
import org.toucanrack.scenarios.fleet.Fleet;

/** Steps on requests of callers. */
public final class RequestSteps {

  private static final int SLOTS = 3;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final World world = new World();
  private final List<String> killed = new ArrayList<>();
  private long loadStartNanos;
  private long loadEndNanos;
  private int drained;

  @Given("a deployment in which each customer may send {int} requests per second")
  public void startDeployment(int requestsPerSecond) {
    world.start(requestsPerSecond);
  }

  @Given("backend servers take {int} ms for a request")
  public void slowBackends(int millis) {
    world.fleet().controlBackends("{\"serviceTime\":\"fixed:" + millis + "\"}");
  }

  @When("{string} sends {int} orders with tickets and {int} reads over all entry VMs")
  public void sendOrdersAndReads(String customer, int orders, int reads) {
    List<String> vms = world.fleet().vmNames();
    for (int i = 0; i < Math.max(orders, reads); i++) {
      String vm = vms.get(i % vms.size());
      if (i < reads) {
        world.send(vm, "GET", "/catalogue/item", world.key(customer), Optional.empty());
      }
      if (i < orders) {
        sendOrderTwice(vm, vms.get((i + 1) % vms.size()), customer);
      }
      Fleet.pause(20);
    }
  }

  private void sendOrderTwice(String vm, String otherVm, String customer) {
    Optional<String> ticket =
        Optional.of(world.fleet().lookUp(vm, "orders").path("ticket").asText());
    world.send(vm, "POST", "/orders/new", world.key(customer), ticket);
    world.send(otherVm, "POST", "/orders/new", world.key(customer), ticket);
  }

  @When("entry VM {string} is killed meanwhile")
  public void kill(String vm) {
    killed.add(world.fleet().callersAddress(vm));
    world.fleet().vm(vm).kill();
    for (int i = 0; i < 60; i++) {
      List<String> alive =
          world.fleet().vmNames().stream().filter(name -> !name.equals(vm)).toList();
      String target = alive.get(i % alive.size());
      world.send(target, "GET", "/catalogue/item", world.key("press"), Optional.empty());
      sendOrderTwice(target, alive.get((i + 1) % alive.size()), "press");
      Fleet.pause(20);
    }
    world.settle();
  }

  @When(
      "entry VM {string} is paused for {int} seconds while {string} sends {int} reads to"
          + " {string} and {string}")
  public void pauseVm(
      String paused, int seconds, String customer, int reads, String first, String second) {
    world.fleet().vm(paused).pause();
    long pauseMillis = Duration.ofSeconds(seconds).toMillis() / reads;
    for (int i = 0; i < reads; i++) {
      String vm = i % 2 == 0 ? first : second;
      world.send(vm, "GET", "/catalogue/item", world.key(customer), Optional.empty());
      Fleet.pause(pauseMillis);
    }
  }

  @When("entry VM {string} is resumed and {string} sends {int} reads to it at once")
  public void resumeVm(String vm, String customer, int reads) {
    List<CompletableFuture<Caller.Answer>> burst = new ArrayList<>();
    for (int i = 0; i < reads; i++) {
      String target = i % 2 == 0 ? vm : "a2";
      burst.add(
          world.send(target, "GET", "/catalogue/item", world.key(customer), Optional.empty()));
    }
    world.fleet().vm(vm).resume();
    burst.forEach(CompletableFuture::join);
    world.settle();
  }

  @When("{string} sends {int} requests per second for {int} seconds over all entry VMs")
  public void sendLoad(String customer, int perSecond, int seconds) {
    List<String> vms = world.fleet().vmNames();
    loadStartNanos = System.nanoTime();
    for (int i = 0; i < perSecond * seconds; i++) {
      String vm = vms.get(i % vms.size());
      world.send(vm, "GET", "/catalogue/spend", world.key(customer), Optional.empty());
      Fleet.pause(1000 / perSecond);
    }
    world.settle();
    loadEndNanos = System.nanoTime();
  }

  @When("the busiest backend server starts to drain while {string} sends reads for {int} seconds")
  public void drainBackend(String customer, int seconds) {
    sendReads(customer, 2);
    drained = busiestServer();
    world.fleet().controlBackend(drained, "{\"draining\":true}");
    sendReads(customer, seconds);
    world.settle();
  }

  private int busiestServer() {
    List<JsonNode> records = world.fleet().ran();
    return IntStream.range(0, records.size())
        .boxed()
        .max(Comparator.comparingLong(index -> records.get(index).path("ran").asLong()))
        .orElseThrow();
  }

  private void sendReads(String customer, int seconds) {
    List<String> vms = world.fleet().vmNames();
    for (int i = 0; i < seconds * 50; i++) {
      String vm = vms.get(i % vms.size());
      world.send(vm, "GET", "/catalogue/item", world.key(customer), Optional.empty());
      Fleet.pause(20);
    }
  }

  @When("entry VM {string} is stopped on plan while {string} has {int} reads in flight there")
  public void stopOnPlan(String vm, String customer, int reads) {
    for (int i = 0; i < reads; i++) {
      world.send(vm, "GET", "/catalogue/slow", world.key(customer), Optional.empty());
    }
    Fleet.pause(200);
    world.fleet().vm(vm).terminate();
    Fleet.pause(500);
    world.send(vm, "GET", "/catalogue/slow", world.key(customer), Optional.empty());
    world.settle();
    world.fleet().vm(vm).await();
  }

  @Then("no order ran twice")
  public void noDuplicates() {
    for (JsonNode record : world.fleet().ran()) {
      assertEquals(0, record.path("duplicates").size(), record.toString());
    }
    List<String> served = ordersThatRan();
    assertEquals(served.size(), Set.copyOf(served).size());
  }

  private List<String> ordersThatRan() {
    List<String> ids = new ArrayList<>();
    for (JsonNode record : world.fleet().ran()) {
      record.path("runsByCallerId").fieldNames().forEachRemaining(ids::add);
    }
    return ids;
  }

  @Then("no request that was refused as not run has run")
  public void notRunIsTrue() {
    Set<String> refused =
        world.caller().answers().stream()
            .filter(Caller.Answer::isNotRun)
            .map(Caller.Answer::id)
            .collect(Collectors.toSet());
    for (JsonNode record : world.fleet().ran()) {
      for (String field : List.of("runsByCallerId", "readsByCallerId")) {
        record
            .path(field)
            .fieldNames()
            .forEachRemaining(id -> assertFalse(refused.contains(id), id + " ran"));
      }
    }
  }

  @Then("all requests to the surviving entry VMs had an outcome")
  public void everyRequestHasAnOutcome() {
    List<Caller.Answer> lost =
        world.caller().answers().stream()
            .filter(answer -> !killed.contains(answer.address()))
            .filter(answer -> answer.verdict().equals("none"))
            .toList();
    assertTrue(lost.isEmpty(), lost.toString());
    assertTrue(world.caller().answers().stream().anyMatch(Caller.Answer::isServed));
  }

  @Then("no backend server saw a key or ran more than its slots")
  public void slotsAndKeysHold() {
    for (JsonNode record : world.fleet().ran()) {
      assertFalse(record.path("keySeen").asBoolean(), record.toString());
      assertTrue(record.path("greatestConcurrency").asInt() <= SLOTS, record.toString());
    }
  }

  @Then("at most {int} requests per second and a burst of {int} have run")
  public void rateHolds(int rate, int burst) {
    double seconds = (double) (loadEndNanos - loadStartNanos) / NANOS_PER_SECOND;
    assertTrue(served() <= rate * seconds + burst, served() + " served in " + seconds + " s");
  }

  @Then("at least {int} percent of what the rate allows was served")
  public void rateIsUsed(int percent) {
    double seconds = (double) (loadEndNanos - loadStartNanos) / NANOS_PER_SECOND;
    double allowed = 20 * seconds;
    assertTrue(
        served() >= allowed * percent / 100, served() + " served of " + allowed + " allowed");
  }

  private long served() {
    return world.caller().answers().stream()
        .filter(answer -> answer.body().contains("/spend"))
        .filter(Caller.Answer::isServed)
        .count();
  }

  @Then("it started nothing later than {int} seconds after")
  public void drainedServerIsIdle(int seconds) {
    JsonNode record = world.fleet().ran(drained);
    assertTrue(record.path("ran").asLong() > 0, "the server had work before: " + record);
    long lastStartMillis = record.path("lastStartAfterDrainMillis").asLong();
    assertTrue(lastStartMillis <= Duration.ofSeconds(seconds).toMillis(), record.toString());
  }

  @Then("all its requests were served")
  public void allServed() {
    List<Caller.Answer> unserved =
        world.caller().answers().stream()
            .filter(answer -> answer.body().contains("/slow") || answer.verdict().equals("none"))
            .filter(answer -> !answer.isServed())
            .toList();
    assertTrue(unserved.isEmpty(), unserved.toString());
  }

  @Then("entry VM {string} has ended")
  public void vmHasEnded(String vm) {
    world.fleet().vm(vm).await();
  }
}
