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

/** Steps for moves of traffic between failure domains and for rollouts of versions. */
public final class ChangeSteps {

  private static final int CANDIDATE_SERVERS = 3;

  private final World world = new World();
  private long candidateReads;

  @When(
      "a move of {string} traffic from {string} to {string} is started with a deadline in {int}"
          + " seconds")
  public void startMove(String service, String from, String to, int seconds) {
    String deadline = Instant.now().plusSeconds(seconds).truncatedTo(ChronoUnit.SECONDS).toString();
    world
        .fleet()
        .runCommand(
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
    world.fleet().runCommand("move", "abort", "--move", "m1").expectExit(0);
  }

  @Then("the move is {string} within {int} seconds")
  public void moveReachesState(String state, int seconds) {
    world
        .fleet()
        .await(
            "the move is " + state,
            Duration.ofSeconds(seconds),
            () -> moveStatus().contains(": " + state + ","));
  }

  private String moveStatus() {
    return world.fleet().runCommand("move", "status", "--move", "m1").expectExit(0).output();
  }

  @Then("reads sent to entry VM {string} are served in {string} within {int} seconds")
  public void readsAreServedIn(String vm, String failureDomain, int seconds) {
    int firstServer = 4 * List.of("alpha-a", "alpha-b", "beta-a").indexOf(failureDomain);
    world
        .fleet()
        .await(
            "reads at " + vm + " are served in " + failureDomain,
            Duration.ofSeconds(seconds),
            () -> {
              long executionsBefore = executionsOnPair(firstServer);
              long otherExecutionsBefore = totalExecutions() - executionsBefore;
              for (int i = 0; i < 10; i++) {
                world.sendKeyedRead(vm, "press");
              }
              long executionsAfter = executionsOnPair(firstServer);
              return executionsAfter - executionsBefore >= 10
                  && totalExecutions() - executionsAfter == otherExecutionsBefore;
            });
  }

  private long totalExecutions() {
    return world.fleet().executionLogs().stream().mapToLong(log -> log.path("ran").asLong()).sum();
  }

  private long executionsOnPair(int firstServer) {
    return world.fleet().executionLog(firstServer).path("ran").asLong()
        + world.fleet().executionLog(firstServer + 1).path("ran").asLong();
  }

  @When("a version that fails every request is declared to carry all traffic in {int} seconds")
  public void declareFailingVersion(int seconds) {
    int firstServer = world.fleet().firstCandidateIndex();
    for (int i = 0; i < CANDIDATE_SERVERS; i++) {
      world.fleet().controlBackend(firstServer + i, "{\"faults\":[{\"kind\":\"ERROR\"}]}");
    }
    world.fleet().declareCandidate(Instant.now().plusSeconds(seconds));
  }

  @When("a healthy version is declared to carry all traffic in {int} seconds")
  public void declareHealthyVersion(int seconds) {
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
    world.awaitResponses();
  }

  @Then("the version received at most {int} percent of the reads")
  public void versionReceivedAtMost(int percent) {
    candidateReads = candidateExecutions();
    long sent = world.caller().responses().size();
    assertTrue(candidateReads > 0, "the version received no reads");
    assertTrue(candidateReads * 100 <= sent * percent, candidateReads + " of " + sent + " reads");
  }

  @Then("the version receives no further reads")
  public void versionReceivesNoMoreReads() {
    sendReads("press", 2);
    long currentReads = candidateExecutions();
    assertTrue(currentReads == candidateReads, (currentReads - candidateReads) + " more reads");
  }

  @Then("the status reports the version as {string}")
  public void statusReportsVersionAs(String expectedState) {
    String status = world.fleet().runCommand("status").expectExit(0).output();
    assertTrue(status.contains(expectedState), status);
  }

  /**
   * Checks that the servers of the old version run no reads. The count of the candidate alone does
   * not show this, because a hedged read may run twice.
   */
  @Then("the version serves all reads")
  public void versionServesAllReads() {
    long executionsBefore = candidateExecutions();
    long otherExecutionsBefore = totalExecutions() - executionsBefore;
    sendReads("press", 1);
    long executionsAfter = candidateExecutions();
    assertTrue(
        executionsAfter - executionsBefore >= 50,
        (executionsAfter - executionsBefore) + " of 50 reads");
    assertEquals(
        otherExecutionsBefore,
        totalExecutions() - executionsAfter,
        "the old version still runs reads");
  }

  private long candidateExecutions() {
    long executions = 0;
    for (int i = 0; i < CANDIDATE_SERVERS; i++) {
      executions +=
          world.fleet().executionLog(world.fleet().firstCandidateIndex() + i).path("ran").asLong();
    }
    return executions;
  }
}
