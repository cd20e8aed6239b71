package org.toucanrack.internal.coordination.steer;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.toucanrack.internal.coordination.steer.ServerChooser.Attempt;

/**
 * Decides whether a usable server may get a request now.
 *
 * <p>Every choice of a server asks it, when the request is sent. Servers that are removed,
 * draining, evacuated or of a version without an order are not usable and never get here, see
 * {@link ServerTable#usable}. Not thread-safe.
 */
final class ServerEligibility {

  /** Longest normal time without any answer, in multiples of the latency objective. */
  private static final int UNRESPONSIVE_OBJECTIVES = 3;

  private static final long MIN_UNRESPONSIVE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final ColdStartLimiter coldStartLimiter;

  ServerEligibility(ColdStartLimiter coldStartLimiter) {
    this.coldStartLimiter = coldStartLimiter;
  }

  /** Returns the servers that may get the request now. */
  List<ServerState> eligible(
      List<ServerState> servers, Attempt attempt, ColdStartLimiter.Peers peers, long nowNanos) {
    List<ServerState> eligible = new ArrayList<>();
    for (ServerState server : servers) {
      if (exclusion(server, attempt, peers, nowNanos).isEmpty()) {
        eligible.add(server);
      }
    }
    return eligible;
  }

  /** Returns the number of excluded servers by reason. */
  Map<Exclusion, Integer> exclusions(
      List<ServerState> servers, Attempt attempt, ColdStartLimiter.Peers peers, long nowNanos) {
    Map<Exclusion, Integer> exclusions = new EnumMap<>(Exclusion.class);
    for (ServerState server : servers) {
      exclusion(server, attempt, peers, nowNanos)
          .ifPresent(reason -> exclusions.merge(reason, 1, Integer::sum));
    }
    return exclusions;
  }

  /**
   * Returns the time until the first server may get the request again, if all of them are excluded
   * and it is known.
   */
  OptionalLong nanosUntilEligible(
      List<ServerState> servers, Attempt attempt, ColdStartLimiter.Peers peers, long nowNanos) {
    OptionalLong earliest = OptionalLong.empty();
    for (ServerState server : servers) {
      Optional<Exclusion> exclusion = exclusion(server, attempt, peers, nowNanos);
      if (exclusion.isEmpty()) {
        return OptionalLong.empty();
      }
      if (endsWithPause(exclusion.get())) {
        long nanos = server.pauseNanos(nowNanos);
        earliest = OptionalLong.of(Math.min(earliest.orElse(nanos), nanos));
      } else if (!holdsForRequest(exclusion.get())) {
        return OptionalLong.empty();
      }
    }
    return earliest;
  }

  private static boolean endsWithPause(Exclusion exclusion) {
    return exclusion == Exclusion.REQUESTED_PAUSE || exclusion == Exclusion.PAUSED;
  }

  /** Returns whether the server stays excluded however long the request waits. */
  private static boolean holdsForRequest(Exclusion exclusion) {
    return exclusion == Exclusion.TRIED
        || exclusion == Exclusion.OTHER_REGION
        || exclusion == Exclusion.LEAVING;
  }

  private Optional<Exclusion> exclusion(
      ServerState server, Attempt attempt, ColdStartLimiter.Peers peers, long nowNanos) {
    if (attempt.triedServers().contains(server.announced().id())) {
      return Optional.of(Exclusion.TRIED);
    }
    if (!attempt.allowedRegions().isEmpty()
        && !attempt.allowedRegions().contains(server.region())) {
      return Optional.of(Exclusion.OTHER_REGION);
    }
    if (server.isLeaving()) {
      return Optional.of(Exclusion.LEAVING);
    }
    if (server.isInRequestedPause(nowNanos)) {
      return Optional.of(Exclusion.REQUESTED_PAUSE);
    }
    if (server.awaitsFirstAnswer()) {
      return Optional.of(Exclusion.RESUMING);
    }
    if (server.isPaused(nowNanos)) {
      return Optional.of(Exclusion.PAUSED);
    }
    long unresponsiveNanos =
        Math.max(MIN_UNRESPONSIVE_NANOS, UNRESPONSIVE_OBJECTIVES * attempt.objectiveNanos());
    if (server.isUnresponsive(nowNanos, unresponsiveNanos)) {
      return Optional.of(Exclusion.UNRESPONSIVE);
    }
    boolean mayGetRequest =
        !server.isCold(nowNanos)
            || coldStartLimiter.maySend(server, attempt.rule(), peers, nowNanos);
    return mayGetRequest ? Optional.empty() : Optional.of(Exclusion.COLD);
  }
}
