package org.toucanrack.internal.command;

import java.util.List;
import org.toucanrack.platform.Platform;

/** Shows the state of the deployment, as reported by the platform and the VMs. */
final class StatusCommand implements Command {

  private static final Flag OPERATORS =
      Flag.of("operators", "IP:PORT,...", "Operators' ports of VMs to ask as well.");
  private static final Flag OUTPUT =
      Flag.of("output", "text|json", "Text for a person, or JSON for a program.")
          .withDefault("text");

  @Override
  public String name() {
    return "status";
  }

  @Override
  public String summary() {
    return "Shows the configuration, VMs, moves, rollouts and drains.";
  }

  @Override
  public List<Flag> flags() {
    return List.of(OPERATORS, OUTPUT, CommonFlags.PLATFORM);
  }

  @Override
  public ExitCode run(Invocation invocation) {
    Settings settings = invocation.settings();
    List<String> operators = settings.list(OPERATORS);
    operators.forEach(address -> SocketAddresses.parse(settings, OPERATORS, address));
    boolean json = settings.oneOf(OUTPUT, "text", "json").equals("json");
    try (Platform platform = invocation.openPlatform()) {
      StatusReport report =
          StatusReport.collect(platform, new VmStatusClient().fetchAll(operators));
      invocation.out().println(json ? report.toJson() : report.toText());
      return report.isComplete() ? ExitCode.DONE : ExitCode.FAILED;
    }
  }
}
