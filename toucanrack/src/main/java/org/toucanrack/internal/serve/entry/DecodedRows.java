package org.toucanrack.internal.serve.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.steering.AnnouncedServer;
import org.toucanrack.steering.RolloutOrder;
import org.toucanrack.steering.RowCodec;
import org.toucanrack.steering.SharedRow;
import org.toucanrack.steering.SteeringRules;

/**
 * The rules, orders and servers decoded from the rows of the store.
 *
 * <p>Invariant: the rules only change to a higher version, except in {@link #restoreOrder}.
 * Confined to the control thread.
 */
final class DecodedRows {

  private static final long NO_VERSION = -1;

  private final RowCodec codec;
  private final DecisionLog log;
  private final Map<String, AnnouncedServer> servers = new HashMap<>();
  private final Map<String, FailureDomainId> evacuations = new HashMap<>();
  private final Map<String, RolloutOrder> rollouts = new HashMap<>();
  private Optional<SteeringRules> rules = Optional.empty();

  /** Name of the row of the rules, and the version that newer rules have to exceed. */
  private String rulesName = "";

  private long rulesVersion = NO_VERSION;

  DecodedRows(RowCodec codec, DecisionLog log) {
    this.codec = codec;
    this.log = log;
  }

  /**
   * Applies what the store has after an order of an earlier epoch was kept for long enough. Rules
   * may go back to a lower version. If the store has none, the rules stay until it has any.
   */
  void restoreOrder(SharedRow row) {
    if (row.key().name().equals(rulesName)) {
      rulesVersion = NO_VERSION;
    }
    applyOrder(row);
  }

  /** Applies a row of the orders table. An unreadable row is logged and ignored. */
  void applyOrder(SharedRow row) {
    String name = row.key().name();
    if (row.isRemoved()) {
      if (evacuations.remove(name) != null) {
        log.event("evacuation-ended", "order", name, "revision", row.revision());
      }
      rollouts.remove(name);
      return;
    }
    Optional<RowCodec.Order> order = codec.decodeOrder(row);
    if (order.isEmpty()) {
      log.event("order-unreadable", "order", name, "revision", row.revision());
    }
    order.ifPresent(decoded -> applyOrder(name, decoded, row.revision()));
  }

  private void applyOrder(String name, RowCodec.Order order, long revision) {
    if (order instanceof RowCodec.Order.Rules newRules) {
      adoptRules(name, newRules.rules(), revision);
    } else if (order instanceof RowCodec.Order.Rollout rollout) {
      rollouts.put(name, rollout.order());
      log.event(
          "rollout-ordered",
          "service",
          rollout.order().service(),
          "to",
          rollout.order().to(),
          "within_ms",
          rollout.order().timeLimit().toMillis(),
          "revision",
          revision);
    } else if (order instanceof RowCodec.Order.Evacuation evacuation) {
      evacuations.put(name, evacuation.failureDomain());
      log.event("evacuation-ordered", "domain", evacuation.failureDomain(), "revision", revision);
    }
  }

  private void adoptRules(String name, SteeringRules newRules, long revision) {
    long currentVersion = rules.map(SteeringRules::version).orElse(NO_VERSION);
    if (newRules.version() > rulesVersion) {
      rules = Optional.of(newRules);
      rulesName = name;
      rulesVersion = newRules.version();
      log.event(
          "rules-adopted",
          "version",
          newRules.version(),
          "before",
          currentVersion,
          "revision",
          revision,
          "routes",
          newRules.routes().size());
    }
  }

  /** Applies a row of the servers table. A server whose row is unreadable is no longer used. */
  void applyServer(SharedRow row) {
    String name = row.key().name();
    AnnouncedServer before = servers.remove(name);
    Optional<AnnouncedServer> server = row.isRemoved() ? Optional.empty() : codec.decodeServer(row);
    server.ifPresent(announced -> servers.put(name, announced));
    if (server.isEmpty() && !row.isRemoved()) {
      log.event("server-unreadable", "server", name, "revision", row.revision());
    } else if (server.isEmpty() && before != null) {
      log.event("server-gone", "server", name, "revision", row.revision());
    } else if (server.isPresent() && affectsSteering(before, server.get())) {
      log.event(
          "server-announced",
          "server",
          name,
          "service",
          server.get().service(),
          "version",
          server.get().version(),
          "draining",
          server.get().draining(),
          "cold_ms",
          server.get().remainingColdPeriod().toMillis(),
          "revision",
          row.revision());
    }
  }

  Optional<AnnouncedServer> server(String name) {
    return Optional.ofNullable(servers.get(name));
  }

  /** Returns whether a new announcement changes how a server may be used; others are not logged. */
  private static boolean affectsSteering(AnnouncedServer before, AnnouncedServer after) {
    return before == null
        || before.draining() != after.draining()
        || before.startedAtMillis() != after.startedAtMillis()
        || before.remainingColdPeriod().isZero() != after.remainingColdPeriod().isZero();
  }

  List<AnnouncedServer> servers() {
    return new ArrayList<>(servers.values());
  }

  Set<FailureDomainId> evacuated() {
    return new HashSet<>(evacuations.values());
  }

  List<RolloutOrder> rollouts() {
    return new ArrayList<>(rollouts.values());
  }

  Optional<SteeringRules> rules() {
    return rules;
  }
}
