package org.toucanrack.internal.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.toucanrack.internal.configuration.InMemoryPlatform;
import org.toucanrack.internal.configuration.KeySecret;

/** Guards the output and the exit codes of commands, and the rows that they write for VMs. */
class ProgramTest {

  private static final String SAHA = "../examples/saha";
  private static final String OPERATOR = "op";

  private final InMemoryPlatform platform = new InMemoryPlatform();
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();

  @Test
  void describesItselfAndEveryCommand() {
    run("--help");
    for (Command command : Program.COMMANDS) {
      output.writeBytes("\n".getBytes(StandardCharsets.UTF_8));
      assertEquals(ExitCode.DONE, run(command.name(), "--help"));
    }

    Approvals.verify(output());
  }

  @Test
  void reportsAllFaultsOfTheServeSettingsAtOnce() {
    Map<String, String> environment =
        Map.of("TOUCANRACK_FAILURE_DOMAIN", "Amman", "TOUCANRACK_LOG_FORMAT", "xml");

    ExitCode code =
        run(
            environment,
            "serve",
            "--vm=v1",
            "--vm=v2",
            "--bogus",
            "--callers-listen=localhost:80",
            "--peers-listen=127.0.0.1:99999",
            "--platform=127.0.0.1:19500",
            "--peers=127.0.0.1:1,x",
            "--traffic-threads=0",
            "--peer-secret=short",
            "--region");

    assertEquals(ExitCode.WRONG_USAGE, code);
    Approvals.verify(output());
  }

  @Test
  void prefersFlagsToEnvironmentVariables() {
    Map<String, String> environment = Map.of("TOUCANRACK_FILE", SAHA, "TOUCANRACK_OPERATOR", "env");

    run(environment, "apply", "--operator", OPERATOR);
    run("status");

    assertTrue(output().contains("version 1, based on 0, written by op"), output());
  }

  @Test
  void appliesPlansAndRefusesOutdatedBase() {
    List<ExitCode> codes = new ArrayList<>();

    codes.add(run("plan", "-f", SAHA));
    output.reset();
    codes.add(run("apply", "-f", SAHA, "--wait"));
    codes.add(run("apply", "-f", SAHA));
    codes.add(run("plan", "-f", SAHA));
    codes.add(run("apply", "-f", "../examples/kalahari", "--based-on", "0"));
    codes.add(run("plan", "-f", "../examples/none"));

    assertEquals(
        List.of(
            ExitCode.DONE,
            ExitCode.DONE,
            ExitCode.DONE,
            ExitCode.DONE,
            ExitCode.CONFLICT,
            ExitCode.WRONG_USAGE),
        codes);
    Approvals.verify(output());
  }

  @Test
  void reportsVmsThatDoNotUseTheVersionInTime() {
    platform.putRow(
        "domain/amman-a",
        "{\"members\":[{\"vm\":\"late\",\"configurationVersion\":0},"
            + "{\"vm\":\"prompt\",\"configurationVersion\":1}]}");

    ExitCode code = run("apply", "-f", SAHA, "--wait", "--wait-seconds", "1");

    assertEquals(ExitCode.NOT_IN_EFFECT, code);
    assertTrue(output().contains("after 1 s on: late (version 0)."), output());
  }

  @Test
  void grantsKeyShowsItsSecretOnceAndKeepsOnlyTheHash() {
    run("apply", "-f", SAHA);
    output.reset();

    ExitCode code = run("key", "grant", "--customer", "maan-schools", "--name", "first");
    final String secret = output().lines().reduce((earlier, later) -> later).orElseThrow();
    output.reset();
    run("get");

    assertEquals(ExitCode.DONE, code);
    assertTrue(output().contains(new KeySecret(secret).sha256()));
    assertFalse(output().contains(secret));
    output.reset();
    assertEquals(ExitCode.DONE, run("key", "withdraw", "--name", "first"));
    assertEquals("Accepted as version 3; key 'first' is withdrawn.\n", output());
  }

  @Test
  void keepsKeysWhenTheDeploymentChanges() {
    run("apply", "-f", SAHA);
    run("key", "grant", "--customer", "maan-schools", "--name", "first");

    ExitCode refused = run("apply", "-f", "../examples/kalahari");
    output.reset();
    run("get");

    assertEquals(ExitCode.WRONG_USAGE, refused);
    assertTrue(output().contains("\"name\" : \"first\""));
  }

  @Test
  void refusesWrongKeyRequests() {
    run("apply", "-f", SAHA);
    output.reset();

    run("key", "grant", "--customer", "nobody", "--name", "k");
    run("key", "withdraw", "--name", "k");
    run("key", "rotate", "--name", "Bad Name");

    Approvals.verify(output());
  }

  @Test
  void writesAndDeletesDrainRecords() {
    run("apply", "-f", SAHA);
    output.reset();

    assertEquals(ExitCode.DONE, run("drain", "--backend-server", "dutyview-amman-a-1"));
    assertEquals(ExitCode.DONE, run("drain", "--vm", "vm-1"));
    assertTrue(row("drain/vm/vm-1").contains("\"operator\":\"op\""));
    assertEquals(ExitCode.DONE, run("drain", "--vm", "vm-1", "--undo"));
    assertEquals(ExitCode.WRONG_USAGE, run("drain", "--backend-server", "unknown"));
    assertEquals(ExitCode.WRONG_USAGE, run("drain", "--vm", "a", "--backend-server", "b"));

    Approvals.verify(output());
  }

  @Test
  void drainsTheServerOfTheFlagWhenTheEnvironmentNamesVm() {
    run("apply", "-f", SAHA);
    Map<String, String> environment = Map.of("TOUCANRACK_VM", "vm-1");

    ExitCode code = run(environment, "drain", "--backend-server", "dutyview-amman-a-1");

    assertEquals(ExitCode.DONE, code);
    assertTrue(output().contains("backend-server 'dutyview-amman-a-1' is being drained."));
  }

  @Test
  void startsShowsAndAbortsMovesWithinTheRule() {
    run("apply", "-f", SAHA);
    output.reset();

    move("--cap", "0.2", "--deadline", "2099-01-01T00:00:00Z");
    move("--cap", "0.01", "--window-seconds", "3600", "--deadline", "2020-01-01T00:00:00Z");
    move("--to", "amman", "--deadline", "2099-01-01T00:00:00Z");
    move("--cap", "0.05", "--deadline", "2099-01-01T00:00:00Z");
    move("--cap", "0.05", "--deadline", "2099-01-01T00:00:00Z");
    run("move", "status", "--move", "m1");
    run("move", "abort", "--move", "m1");
    run("move", "abort", "--move", "m1");

    String withoutTimes = output().replaceAll("a deadline of \\S+Z", "a deadline of TIME");
    Approvals.verify(withoutTimes);
  }

  @Test
  void rollsBackAbortedMoveThatHasShiftedTraffic() {
    platform.putRow("move/m1", "{\"state\":\"running\",\"split\":0.4}");
    platform.answersToLose = 1;

    ExitCode code = run("move", "abort", "--move", "m1");

    assertEquals(ExitCode.DONE, code);
    assertTrue(row("move/m1").contains("\"state\":\"taking back\""), row("move/m1"));
  }

  @Test
  void abortsMoveThatVmsUpdateConcurrently() {
    platform.putRow("move/m1", "{\"state\":\"running\",\"split\":0.0}");
    platform.beforeCommit =
        () -> platform.putRow("move/m1", "{\"state\":\"running\",\"split\":0.1}");

    run("move", "abort", "--move", "m1");

    assertEquals("Aborted. The traffic is rolled back in capped steps.\n", output());
  }

  @Test
  void showsStatusAsTextAndAsJson() {
    run("apply", "-f", SAHA);
    platform.putRow(
        "domain/amman-a",
        "{\"members\":[{\"vm\":\"vm-1\",\"callersAddress\":\"127.0.0.1:21101\","
            + "\"draining\":true,\"configurationVersion\":1}]}");
    platform.putRow(
        "rollout/dutyview/v2",
        "{\"state\":\"taken back\",\"share\":0.0,\"reason\":\"Errors on route view.\"}");
    platform.putRow("move/broken", "not json");
    platform.putRow("drain/vm/vm-1", "{\"since\":\"2026-12-04T00:00:00Z\",\"operator\":\"op\"}");
    output.reset();

    assertEquals(ExitCode.FAILED, run("status", "--operators", "127.0.0.1:1"));
    assertEquals(ExitCode.DONE, run("status", "--output", "json"));

    String stable = output().replaceAll("\"(hash|operationId)\" : \"[^\"]+\"", "\"$1\" : \"...\"");
    Approvals.verify(stable);
  }

  @Test
  void reportsOutcomesOfPlatformFailures() {
    platform.down = true;
    assertEquals(ExitCode.FAILED, run("status"));

    platform.down = false;
    assertEquals(ExitCode.FAILED, run("get"), "no version yet");
    platform.beforeCommit = () -> platform.down = true;
    assertEquals(ExitCode.UNKNOWN_OUTCOME, run("apply", "-f", SAHA));
  }

  private void move(String... flags) {
    List<String> arguments =
        new ArrayList<>(List.of("move", "start", "--move", "m1", "--service", "weekbook"));
    arguments.addAll(List.of("--from", "amman-a"));
    if (!List.of(flags).contains("--to")) {
      arguments.addAll(List.of("--to", "irbid"));
    }
    arguments.addAll(List.of(flags));
    run(arguments.toArray(String[]::new));
  }

  private ExitCode run(String... arguments) {
    return run(Map.of("TOUCANRACK_OPERATOR", OPERATOR), arguments);
  }

  private ExitCode run(Map<String, String> environment, String... arguments) {
    Map<String, String> all = new java.util.HashMap<>(environment);
    boolean needsPlatform = !List.of(arguments).toString().contains("--platform");
    if (needsPlatform) {
      all.put("TOUCANRACK_PLATFORM", "http://127.0.0.1:19500");
    }
    PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
    return new Program(all, stream, stream, addresses -> platform).run(List.of(arguments));
  }

  private String row(String key) {
    return platform.tables().get(key).toCompletableFuture().join().orThrow().orElseThrow().value();
  }

  private String output() {
    return output.toString(StandardCharsets.UTF_8);
  }
}
