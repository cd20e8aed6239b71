package org.toucanrack.internal.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.internal.observe.RequestTimeline;

/** Prints the outcome of one request and its cause, as recorded in the decision logs of all VMs. */
final class ExplainCommand implements Command {

  private static final Flag REQUEST = Flag.of("request", "ID", "The id of the request.");

  private static final Flag LOGS =
      Flag.of("logs", "FILES", "Log files of the VMs, separated by commas.");

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String summary() {
    return "Tells from the logs of all VMs what became of a request, and why.";
  }

  @Override
  public List<Flag> flags() {
    return List.of(REQUEST, LOGS);
  }

  @Override
  public ExitCode run(Invocation invocation) {
    Settings settings = invocation.settings();
    String requestId = settings.required(REQUEST);
    String logFiles = settings.required(LOGS);
    settings.throwIfFaulty();
    List<String> lines = new ArrayList<>();
    Arrays.stream(logFiles.split(",")).map(Path::of).forEach(file -> lines.addAll(readLines(file)));
    RequestTimeline timeline = RequestTimeline.read(lines.stream(), requestId);
    timeline.lines().forEach(invocation.out()::println);
    return timeline.isLogged() ? ExitCode.DONE : ExitCode.FAILED;
  }

  private static List<String> readLines(Path file) {
    try {
      return Files.readAllLines(file);
    } catch (IOException e) {
      throw new ToucanrackException(
          ErrorCode.INVALID_SETTINGS, "The log file " + file + " cannot be read: " + e, e);
    }
  }
}
