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

/** Steps that send requests of callers and check their outcomes. */
public final class RequestSteps {

  private static final int SLOTS_PER_SERVER = 3;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final World world = new World();
  private final List<String> killedAddresses = new ArrayList<>();
  private long loadStartNanos;
  private long loadEndNanos;
  private int drainingServerIndex;

  @Given("a deployment in which each customer may send {int} requests per second")
  public void startDeployment(int requestsPerSecond) {
    world.startDeployment(requestsPerSecond);
  }

  @Given("backend servers have a service time of {int} ms")
  public void setServiceTime(int millis) {
    world.fleet().controlAllBackends("{\"serviceTime\":\"fixed:" + millis + "\"}");
  }

  @When("{string} sends {int} orders with tickets and {int} reads across all entry VMs")
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

  @When("entry VM {string} is killed under load")
  public void killUnderLoad(String vm) {
    killedAddresses.add(world.fleet().callersAddress(vm));
    world.fleet().vm(vm).kill();
    for (int i = 0; i < 60; i++) {
      List<String> survivors =
          world.fleet().vmNames().stream().filter(name -> !name.equals(vm)).toList();
      String target = survivors.get(i % survivors.size());
      world.send(target, "GET", "/catalogue/item", world.key("press"), Optional.empty());
      sendOrderTwice(target, survivors.get((i + 1) % survivors.size()), "press");
      Fleet.pause(20);
    }
    world.awaitResponses();
  }

  @When(
      "entry VM {string} is paused for {int} seconds while {string} sends {int} reads to"
          + " {string} and {string}")
  public void pauseVm(
      String paused, int seconds, String customer, int reads, String first, String second) {
    world.fleet().vm(paused).pause();
    long intervalMillis = Duration.ofSeconds(seconds).toMillis() / reads;
    for (int i = 0; i < reads; i++) {
      String vm = i % 2 == 0 ? first : second;
      world.send(vm, "GET", "/catalogue/item", world.key(customer), Optional.empty());
      Fleet.pause(intervalMillis);
    }
  }

  @When("entry VM {string} is resumed and {string} sends {int} reads to it at once")
  public void resumeVm(String vm, String customer, int reads) {
    List<CompletableFuture<Caller.RecordedResponse>> responses = new ArrayList<>();
    for (int i = 0; i < reads; i++) {
      String target = i % 2 == 0 ? vm : "a2";
      responses.add(
          world.send(target, "GET", "/catalogue/item", world.key(customer), Optional.empty()));
    }
    world.fleet().vm(vm).resume();
    responses.forEach(CompletableFuture::join);
    world.awaitResponses();
  }

  @When("{string} sends {int} requests per second for {int} seconds across all entry VMs")
  public void sendRequestsAtRate(String customer, int requestsPerSecond, int seconds) {
    List<String> vms = world.fleet().vmNames();
    loadStartNanos = System.nanoTime();
    for (int i = 0; i < requestsPerSecond * seconds; i++) {
      String vm = vms.get(i % vms.size());
      world.send(vm, "GET", "/catalogue/spend", world.key(customer), Optional.empty());
      Fleet.pause(1000 / requestsPerSecond);
    }
    world.awaitResponses();
    loadEndNanos = System.nanoTime();
  }

  @When("the busiest backend server starts to drain while {string} sends reads for {int} seconds")
  public void drainBusiestServer(String customer, int seconds) {
    sendReads(customer, 2);
    drainingServerIndex = busiestServer();
    world.fleet().controlBackend(drainingServerIndex, "{\"draining\":true}");
    sendReads(customer, seconds);
    world.awaitResponses();
  }

  private int busiestServer() {
    List<JsonNode> logs = world.fleet().executionLogs();
    return IntStream.range(0, logs.size())
        .boxed()
        .max(Comparator.comparingLong(index -> logs.get(index).path("ran").asLong()))
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

  @When("entry VM {string} is shut down gracefully while {string} has {int} reads in flight there")
  public void shutDownWithReadsInFlight(String vm, String customer, int reads) {
    for (int i = 0; i < reads; i++) {
      world.send(vm, "GET", "/catalogue/slow", world.key(customer), Optional.empty());
    }
    Fleet.pause(200);
    world.fleet().vm(vm).terminate();
    Fleet.pause(500);
    world.send(vm, "GET", "/catalogue/slow", world.key(customer), Optional.empty());
    world.awaitResponses();
    world.fleet().vm(vm).awaitExit();
  }

  @Then("no order ran twice")
  public void noOrderRanTwice() {
    for (JsonNode log : world.fleet().executionLogs()) {
      assertEquals(0, log.path("duplicates").size(), log.toString());
    }
    List<String> executedOrders = ordersThatRan();
    assertEquals(executedOrders.size(), Set.copyOf(executedOrders).size());
  }

  private List<String> ordersThatRan() {
    List<String> ids = new ArrayList<>();
    for (JsonNode log : world.fleet().executionLogs()) {
      log.path("runsByCallerId").fieldNames().forEachRemaining(ids::add);
    }
    return ids;
  }

  @Then("no request with the verdict not-run was executed")
  public void noRequestReportedNotRunWasExecuted() {
    Set<String> notRunIds =
        world.caller().responses().stream()
            .filter(Caller.RecordedResponse::isNotRun)
            .map(Caller.RecordedResponse::id)
            .collect(Collectors.toSet());
    for (JsonNode log : world.fleet().executionLogs()) {
      for (String field : List.of("runsByCallerId", "readsByCallerId")) {
        log.path(field)
            .fieldNames()
            .forEachRemaining(id -> assertFalse(notRunIds.contains(id), id + " ran"));
      }
    }
  }

  @Then("every request to a surviving entry VM received a verdict")
  public void everyRequestToSurvivorsHasVerdict() {
    List<Caller.RecordedResponse> withoutVerdict =
        world.caller().responses().stream()
            .filter(response -> !killedAddresses.contains(response.address()))
            .filter(response -> response.verdict().equals("none"))
            .toList();
    assertTrue(withoutVerdict.isEmpty(), withoutVerdict.toString());
    assertTrue(world.caller().responses().stream().anyMatch(Caller.RecordedResponse::isServed));
  }

  @Then("no backend server received an API key or exceeded its slots")
  public void noServerReceivedKeyOrExceededSlots() {
    for (JsonNode log : world.fleet().executionLogs()) {
      assertFalse(log.path("keySeen").asBoolean(), log.toString());
      assertTrue(log.path("greatestConcurrency").asInt() <= SLOTS_PER_SERVER, log.toString());
    }
  }

  @Then("at most {int} requests per second and a burst of {int} were served")
  public void rateIsNotExceeded(int rate, int burst) {
    double seconds = (double) (loadEndNanos - loadStartNanos) / NANOS_PER_SECOND;
    assertTrue(
        servedCount() <= rate * seconds + burst, servedCount() + " served in " + seconds + " s");
  }

  @Then("at least {int} percent of the requests allowed by the rate were served")
  public void rateIsUsedUpTo(int percent) {
    double seconds = (double) (loadEndNanos - loadStartNanos) / NANOS_PER_SECOND;
    double allowed = 20 * seconds;
    assertTrue(
        servedCount() >= allowed * percent / 100,
        servedCount() + " served of " + allowed + " allowed");
  }

  private long servedCount() {
    return world.caller().responses().stream()
        .filter(response -> response.body().contains("/spend"))
        .filter(Caller.RecordedResponse::isServed)
        .count();
  }

  @Then("it starts no request later than {int} seconds after the drain began")
  public void drainingServerStartsNothingLate(int seconds) {
    JsonNode log = world.fleet().executionLog(drainingServerIndex);
    assertTrue(log.path("ran").asLong() > 0, "the server ran no request before the drain: " + log);
    long lastStartMillis = log.path("lastStartAfterDrainMillis").asLong();
    assertTrue(lastStartMillis <= Duration.ofSeconds(seconds).toMillis(), log.toString());
  }

  @Then("all its requests were served")
  public void everySlowRequestWasServed() {
    List<Caller.RecordedResponse> unserved =
        world.caller().responses().stream()
            .filter(
                response -> response.body().contains("/slow") || response.verdict().equals("none"))
            .filter(response -> !response.isServed())
            .toList();
    assertTrue(unserved.isEmpty(), unserved.toString());
  }

  @Then("the process of entry VM {string} has exited")
  public void vmProcessHasExited(String vm) {
    world.fleet().vm(vm).awaitExit();
  }
}
