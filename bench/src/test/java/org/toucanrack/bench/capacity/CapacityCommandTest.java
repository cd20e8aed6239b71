package org.toucanrack.bench.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.toucanrack.bench.Arguments;

/** Guards against benchmarks that no longer run and a capacity page that names missing commands. */
class CapacityCommandTest {

  private static final Path REPOSITORY_ROOT = Path.of("..");
  private static final Pattern COMMAND_NAME = Pattern.compile("bin/[a-z][a-z-]*");
  private static final Set<String> MECHANISMS =
      Set.of(
          "client blocks",
          "look-up",
          "configuration",
          "domain row",
          "control core",
          "restart of a member",
          "heartbeat",
          "message",
          "rate limiter",
          "dispatcher",
          "tickets");

  @Test
  void everyBenchmarkRunsAtTinyScale(@TempDir Path directory) throws Exception {
    String[] arguments = {"--scale", "tiny", "--out", directory.toString()};

    int exitCode = CapacityCommand.run(new Arguments(arguments));

    JsonNode figures =
        new ObjectMapper().readTree(directory.resolve("capacity-tiny.json").toFile());
    Set<String> measuredMechanisms = new TreeSet<>();
    figures.forEach(figure -> measuredMechanisms.add(figure.path("mechanism").asText()));
    assertEquals(0, exitCode);
    assertEquals(new TreeSet<>(MECHANISMS), measuredMechanisms);
  }

  @Test
  void everyCommandOnTheCapacityPageExists() throws Exception {
    String page = Files.readString(REPOSITORY_ROOT.resolve("docs/CAPACITY.md"));

    Set<String> commands =
        COMMAND_NAME.matcher(page).results().map(MatchResult::group).collect(Collectors.toSet());

    assertFalse(commands.isEmpty());
    commands.forEach(
        command ->
            assertTrue(
                Files.isExecutable(REPOSITORY_ROOT.resolve(command)), command + " is missing"));
  }
}
