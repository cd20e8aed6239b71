package org.toucanrack.internal.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.id.MoveId;
import org.toucanrack.platform.Platform;
import org.toucanrack.platform.Row;

/** Starts, shows and aborts planned moves of traffic. */
final class MoveCommand implements Command {

  static final String KEY_PREFIX = "move/";

  private static final int MAX_ABORT_ATTEMPTS = 5;
  private static final Flag MOVE = Flag.of("move", "NAME", "Name of the move.");

  @Override
  public String name() {
    return "move";
  }

  @Override
  public String arguments() {
    return "start|status|abort";
  }

  @Override
  public String summary() {
    return "Starts, shows or aborts a planned move of traffic.";
  }

  @Override
  public List<Flag> flags() {
    return List.of(
        MOVE,
        MoveDeclaration.SERVICE,
        MoveDeclaration.FROM,
        MoveDeclaration.TO,
        MoveDeclaration.CAP,
        MoveDeclaration.STEP,
        MoveDeclaration.WINDOW_SECONDS,
        MoveDeclaration.DEADLINE,
        MoveDeclaration.REASON,
        CommonFlags.OPERATOR,
        CommonFlags.PLATFORM);
  }

  @Override
  public ExitCode run(Invocation invocation) {
    Settings settings = invocation.settings();
    String action = settings.action("start", "status", "abort");
    Optional<MoveId> move = settings.parsed(MOVE, MoveId::new);
    Optional<MoveDeclaration> declaration =
        action.equals("start") ? MoveDeclaration.read(settings) : Optional.empty();
    try (Platform platform = invocation.openPlatform()) {
      JsonRowStore rows = new JsonRowStore(platform);
      String key = KEY_PREFIX + move.orElseThrow();
      Optional<Row> existing = rows.read(key);
      String result =
          declaration.isPresent()
              ? start(platform, move.orElseThrow(), existing, declaration.get())
              : showOrAbort(action, rows, requireRow(key, existing), settings);
      invocation.out().println(result);
    }
    return ExitCode.DONE;
  }

  private static String showOrAbort(
      String action, JsonRowStore rows, Row existing, Settings settings) {
    return action.equals("abort")
        ? abortWithRetries(rows, existing, settings)
        : MoveText.describe(JsonRowStore.parse(existing));
  }

  /** Retries after conflicts, since VMs update the record at each step of the move. */
  private static String abortWithRetries(JsonRowStore rows, Row existing, Settings settings) {
    Row latest = existing;
    for (int attempt = 1; attempt < MAX_ABORT_ATTEMPTS; attempt++) {
      try {
        return abort(rows, latest, settings);
      } catch (ToucanrackException e) {
        Row reread = requireRow(latest.key(), rows.read(latest.key()));
        if (e.code() != ErrorCode.CONFLICT || reread.version() == latest.version()) {
          throw e;
        }
        latest = reread;
      }
    }
    return abort(rows, latest, settings);
  }

  private static String start(
      Platform platform, MoveId move, Optional<Row> existing, MoveDeclaration declaration) {
    String key = KEY_PREFIX + move;
    if (existing.isPresent()) {
      throw new ToucanrackException(
          ErrorCode.CONFLICT, "There is a record '" + key + "' already. Choose another name.");
    }
    Deployment deployment = new VersionSequence(platform).requireCurrent().deployment();
    ObjectNode value = declaration.newRecord(move, deployment, Instant.now());
    new JsonRowStore(platform).write(key, existing, value);
    return "Started. Watch it with 'toucanrack move status'.";
  }

  /** A move that has shifted traffic is rolled back in capped steps; any other ends at once. */
  private static String abort(JsonRowStore rows, Row existing, Settings settings) {
    ObjectNode value = JsonRowStore.parse(existing);
    if (!value.path("state").asText().equals(MoveText.RUNNING)) {
      throw new ToucanrackException(
          ErrorCode.CONFLICT,
          "The move is no longer running: " + MoveText.describe(value) + " Nothing to abort.");
    }
    boolean shifted = value.path("split").asDouble() > 0;
    value.put("state", shifted ? MoveText.TAKING_BACK : MoveText.ABORTED);
    value.put("abortRequested", true);
    value.put("reason", "Aborted by " + settings.operator() + ".");
    rows.write(existing.key(), Optional.of(existing), value);
    return shifted
        ? "Aborted. The traffic is rolled back in capped steps."
        : "Aborted. No traffic had been shifted.";
  }

  private static Row requireRow(String key, Optional<Row> row) {
    return row.orElseThrow(
        () ->
            new ToucanrackException(
                ErrorCode.INVALID_SETTINGS,
                "There is no record '" + key + "'. Run 'toucanrack status' for all moves."));
  }
}
