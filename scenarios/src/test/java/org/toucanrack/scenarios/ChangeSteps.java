package org.toucanrack.scenarios;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Optional;
import org.toucanrack.scenarios.fleet.Fleet;

/** Steps on moves of traffic and rollouts of versions. */
public final class ChangeSteps {

  private static final int CANDIDATES = 3;

  private final World world = new World();
  private long sentToCandidate;

  @When("traffic of {string} moves from {string} to {string} with a deadline in {int} seconds")
  public void startMove(String service, String from, String to, int seconds) {
    String deadline = Instant.now().plusSeconds(seconds).truncatedTo(ChronoUnit.SECONDS).toString();
    world
        .fleet()
        .command(
            "move",
            "start",
            "--move",
            "m1",
            "--service",
            service,
            "--from",
            from,
            "--to",
            to,
            "--deadline",
            deadline)
        .expectExit(0);
  }

  @When("the move is aborted")
  public void abortMove() {
    world.fleet().command("move", "abort", "--move", "m1").expectExit(0);
  }

  @Then("the move is {string} within {int} seconds")
  public void moveReaches(String state, int seconds) {
    world
        .fleet()
        .await(
            "the move is " + state,
            Duration.ofSeconds(seconds),
            () -> moveStatus().contains(": " + state + ","));
  }

  private String moveStatus() {
    return world.fleet().command("move", "status", "--move", "m1").expectExit(0).output();
  }

  @Then("reads that arrive at {string} are served in {string} within {int} seconds")
  public void servedIn(String vm, String domain, int seconds) {
    int first = 4 * List.of("alpha-a", "alpha-b", "beta-a").indexOf(domain);
    world
        .fleet()
        .await(
            "reads at " + vm + " are served in " + domain,
            Duration.ofSeconds(seconds),
            () -> {
              long before = ranIn(first);
              long elsewhereBefore = ranInAll() - before;
              for (int i = 0; i < 10; i++) {
                world.read(vm, "press");
              }
              long after = ranIn(first);
              return after - before >= 10 && ranInAll() - after == elsewhereBefore;
            });
  }

  private long ranInAll() {
    return world.fleet().ran().stream().mapToLong(record -> record.path("ran").asLong()).sum();
  }

  private long ranIn(int firstServer) {
    return world.fleet().ran(firstServer).path("ran").asLong()
        + world.fleet().ran(firstServer + 1).path("ran").asLong();
  }

  @When("a version that fails on every request is declared to carry the traffic in {int} seconds")
  public void declareBadVersion(int seconds) {
    int first = world.fleet().firstCandidate();
    for (int i = 0; i < CANDIDATES; i++) {
      world.fleet().controlBackend(first + i, "{\"faults\":[{\"kind\":\"ERROR\"}]}");
    }
    world.fleet().declareCandidate(Instant.now().plusSeconds(seconds));
  }

  @When("a good version is declared to carry the traffic in {int} seconds")
  public void declareGoodVersion(int seconds) {
    world.fleet().declareCandidate(Instant.now().plusSeconds(seconds));
  }

  @When("{string} sends reads for {int} seconds")
  public void sendReads(String customer, int seconds) {
    List<String> vms = world.fleet().vmNames();
    for (int i = 0; i < seconds * 50; i++) {
      String vm = vms.get(i % vms.size());
      world.send(vm, "GET", "/catalogue/item", world.key(customer), Optional.empty());
      Fleet.pause(20);
    }
    world.settle();
  }

  @Then("the version got at most {int} percent of the reads")
  public void versionGotAtMost(int percent) {
    sentToCandidate = ranOnCandidate();
    long sent = world.caller().answers().size();
    assertTrue(sentToCandidate > 0, "the version was never exposed");
    assertTrue(sentToCandidate * 100 <= sent * percent, sentToCandidate + " of " + sent + " reads");
  }

  @Then("it gets no more reads")
  public void versionGetsNoMore() {
    sendReads("press", 2);
    long now = ranOnCandidate();
    assertTrue(now == sentToCandidate, (now - sentToCandidate) + " more reads");
  }

  @Then("the status says that the version was {string}")
  public void rolloutStatus(String words) {
    String status = world.fleet().command("status").expectExit(0).output();
    assertTrue(status.contains(words), status);
  }

  /** A hedged read may run twice, so the old version's servers are the ones to watch. */
  @Then("the version carries all reads")
  public void versionCarriesAll() {
    long before = ranOnCandidate();
    long oldBefore = ranInAll() - before;
    sendReads("press", 1);
    long after = ranOnCandidate();
    assertTrue(after - before >= 50, (after - before) + " of 50 reads");
    assertEquals(oldBefore, ranInAll() - after, "the old version still ran reads");
  }

  private long ranOnCandidate() {
    long ran = 0;
    for (int i = 0; i < CANDIDATES; i++) {
      ran += world.fleet().ran(world.fleet().firstCandidate() + i).path("ran").asLong();
    }
    return ran;
  }
}
