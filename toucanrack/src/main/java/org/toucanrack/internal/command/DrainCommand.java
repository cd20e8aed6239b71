package org.toucanrack.internal.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Optional;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.VmId;
import org.toucanrack.platform.Platform;
import org.toucanrack.platform.Row;

/** Takes a backend server or a VM out of service, or back into it. */
final class DrainCommand implements Command {

  static final String KEY_PREFIX = "drain/";

  private static final Flag BACKEND_SERVER =
      Flag.of("backend-server", "NAME", "The backend server that gets no new work.");
  private static final Flag VM = Flag.of("vm", "NAME", "The VM that is to stop as planned.");
  private static final Flag UNDO = Flag.toggle("undo", "Ends the drain.");

  @Override
  public String name() {
    return "drain";
  }

  @Override
  public String summary() {
    return "Takes a backend server or a VM out of service, or back into it.";
  }

  @Override
  public List<Flag> flags() {
    return List.of(BACKEND_SERVER, VM, UNDO, CommonFlags.OPERATOR, CommonFlags.PLATFORM);
  }

  /**
   * The backend server or VM to drain.
   *
   * @param kind {@code backend-server} or {@code vm}
   * @param name its name
   */
  private record Target(String kind, String name) {
    String key() {
      return KEY_PREFIX + kind + "/" + name;
    }

    @Override
    public String toString() {
      return kind + " '" + name + "'";
    }
  }

  @Override
  public ExitCode run(Invocation invocation) {
    Settings settings = invocation.settings();
    Optional<Target> target = target(settings);
    boolean undo = settings.isOn(UNDO);
    String operator = settings.operator();
    try (Platform platform = invocation.openPlatform()) {
      JsonRowStore rows = new JsonRowStore(platform);
      Optional<Row> existing = rows.read(target.orElseThrow().key());
      String result =
          undo
              ? undo(rows, target.get(), existing)
              : drain(platform, target.get(), existing, operator);
      invocation.out().println(result);
    }
    return ExitCode.DONE;
  }

  /**
   * Returns the target, or reports a fault. A flag on the command line takes precedence over the
   * environment variable of the other flag, since the environment of an entry VM names that VM.
   */
  private static Optional<Target> target(Settings settings) {
    boolean onCommandLineOnly =
        settings.isOnCommandLine(BACKEND_SERVER) || settings.isOnCommandLine(VM);
    boolean isServer = isGiven(settings, BACKEND_SERVER, onCommandLineOnly);
    if (isServer == isGiven(settings, VM, onCommandLineOnly)) {
      settings.addFault("Give either %s or %s.".formatted(BACKEND_SERVER, VM));
      return Optional.empty();
    }
    return isServer
        ? settings
            .parsed(BACKEND_SERVER, BackendServerId::new)
            .map(id -> new Target("backend-server", id.value()))
        : settings.parsed(VM, VmId::new).map(id -> new Target("vm", id.value()));
  }

  private static boolean isGiven(Settings settings, Flag flag, boolean onCommandLineOnly) {
    return onCommandLineOnly ? settings.isOnCommandLine(flag) : settings.optional(flag).isPresent();
  }

  private static String drain(
      Platform platform, Target target, Optional<Row> existing, String operator) {
    if (existing.isPresent()) {
      return "%s is already being drained, since %s."
          .formatted(target, JsonRowStore.parse(existing.get()).path("since").asText());
    }
    if (target.kind().equals("backend-server")) {
      requireDeclared(platform, target);
    }
    ObjectNode value =
        JsonRowStore.JSON
            .createObjectNode()
            .put("kind", target.kind())
            .put("name", target.name())
            .put("since", Instant.now().truncatedTo(ChronoUnit.SECONDS).toString())
            .put("operator", operator);
    new JsonRowStore(platform).write(target.key(), existing, value);
    return "%s is being drained.".formatted(target);
  }

  private static void requireDeclared(Platform platform, Target target) {
    boolean declared =
        new VersionSequence(platform)
            .requireCurrent()
            .deployment()
            .backendServer(new BackendServerId(target.name()))
            .isPresent();
    if (!declared) {
      throw new ToucanrackException(
          ErrorCode.INVALID_SETTINGS,
          "There is no %s. Run 'toucanrack get' for the declared names.".formatted(target));
    }
  }

  private static String undo(JsonRowStore rows, Target target, Optional<Row> existing) {
    if (existing.isEmpty()) {
      return target + " is not being drained.";
    }
    rows.delete(existing.get());
    return target + " is back in service.";
  }
}
