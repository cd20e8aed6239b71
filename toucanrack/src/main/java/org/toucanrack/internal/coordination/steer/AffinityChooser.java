package org.toucanrack.internal.coordination.steer;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import org.toucanrack.internal.coordination.steer.ServerChooser.Attempt;
import org.toucanrack.internal.coordination.steer.ServerChooser.Choice;

/**
 * Chooses among the servers of one region and version by rendezvous hashing with bounded waits.
 *
 * <p>Requests about one object go to the same server while it has capacity, since a server that
 * handled the object recently is several times faster. Stateless and thread-safe, apart from the
 * server states passed in, which the caller's thread must own.
 */
final class AffinityChooser {

  /** Servers with at least this fault rate are used only if no candidate is healthy. */
  private static final double FAULTY_RATE = 0.25;

  /**
   * Servers slower than the median by at least this factor are used only if no candidate is
   * healthy.
   */
  private static final double SLOW_FACTOR = 2.5;

  /**
   * Candidate servers of each object: enough to share its load, few enough that each keeps the
   * object in its cache.
   */
  private static final int SERVERS_PER_OBJECT = 3;

  /** Longest expected wait at a server by priority level, in multiples of the latency objective. */
  private static final double[] MAX_WAIT_IN_OBJECTIVES = {2.0, 1.4, 1.0};

  /**
   * Longest expected wait at a server with a standing queue by priority level, as a fraction of the
   * wait with which the request is answered in time.
   */
  private static final double[] MAX_WAIT_IN_STANDING_QUEUE = {1.0, 0.85, 0.7};

  /** Requests that may always wait at a server, so that its slots are not idle between requests. */
  private static final int MIN_QUEUED_REQUESTS = 2;

  /** Fraction of the latency objective that is left for the way between the caller and the VM. */
  private static final double CALLER_MARGIN = 0.1;

  private AffinityChooser() {}

  /**
   * Chooses one of the servers.
   *
   * @param servers candidates, at least one
   * @param reason prefix of the reason of the choice; names how the candidates were selected
   */
  static Choice choose(Attempt attempt, List<ServerState> servers, String reason, long nowNanos) {
    long objectHash = StableHash.hash(attempt.object());
    List<ServerState> preferred = preferred(objectHash, servers, nowNanos);
    return preferred.isEmpty()
        ? earliestAnswer(attempt, ranked(objectHash, servers), reason + "-faulty", nowNanos)
        : earliestAnswer(attempt, preferred, reason, nowNanos);
  }

  /**
   * Returns the first healthy servers in rendezvous order. This is called for each request with all
   * servers of a region, so it selects a few servers instead of sorting all.
   */
  private static List<ServerState> preferred(
      long objectHash, List<ServerState> servers, long nowNanos) {
    int count = servers.size();
    double[] slowness = new double[count];
    for (int i = 0; i < count; i++) {
      slowness[i] = servers.get(i).slowness(nowNanos);
    }
    double slowLimit = SLOW_FACTOR * median(slowness.clone());
    ServerState[] best = new ServerState[SERVERS_PER_OBJECT];
    long[] bestScores = new long[SERVERS_PER_OBJECT];
    int found = 0;
    for (int i = 0; i < count; i++) {
      ServerState server = servers.get(i);
      long score = StableHash.score(objectHash, server.hash());
      if ((found < SERVERS_PER_OBJECT || score > bestScores[SERVERS_PER_OBJECT - 1])
          && slowness[i] < slowLimit
          && server.faultRate(nowNanos) < FAULTY_RATE) {
        int position = Math.min(found, SERVERS_PER_OBJECT - 1);
        while (position > 0 && score > bestScores[position - 1]) {
          best[position] = best[position - 1];
          bestScores[position] = bestScores[position - 1];
          position--;
        }
        best[position] = server;
        bestScores[position] = score;
        found = Math.min(SERVERS_PER_OBJECT, found + 1);
      }
    }
    return Arrays.asList(best).subList(0, found);
  }

  private static List<ServerState> ranked(long objectHash, List<ServerState> servers) {
    List<ServerState> ranked = new ArrayList<>(servers);
    ranked.sort(
        Comparator.comparingLong(
                (ServerState server) -> StableHash.score(objectHash, server.hash()))
            .reversed());
    return ranked;
  }

  private static double median(double[] values) {
    Arrays.sort(values);
    return values[(values.length - 1) / 2];
  }

  /**
   * Chooses the server with the earliest expected answer among those that handled the object
   * recently, or a server with a free slot if the wait there would be too long. An affinity miss
   * costs a server several times the work of a hit, so under overload refusing early costs callers
   * less than moving objects between servers.
   *
   * @param servers in rendezvous order of the object; the first one receives the requests of all
   *     VMs, so it is assumed to have handled the object recently
   */
  private static Choice earliestAnswer(
      Attempt attempt, List<ServerState> servers, String reason, long nowNanos) {
    long objectHash = StableHash.hash(attempt.object());
    long objective = attempt.objectiveNanos();
    ServerState first = servers.get(0);
    Comparator<ServerState> byExpectedAnswer =
        Comparator.comparingDouble(
            server ->
                server.answerNanos(true, objective, nowNanos)
                    * (1 + 3 * server.faultRate(nowNanos)));
    ServerState fastest =
        servers.stream()
            .filter(server -> server == first || server.recentlyHandled(objectHash, nowNanos))
            .min(byExpectedAnswer)
            .orElse(first);
    String refusal = refusal(attempt, fastest, nowNanos);
    if (refusal.isEmpty()) {
      return use(fastest, fastest == first ? reason : reason + "-second", objectHash, nowNanos);
    }
    if (attempt.waitLimit().isPresent()) {
      // An object that moves to a server which does not know it costs several times the work.
      return new Choice.None("shed");
    }
    return servers.stream()
        .filter(server -> server.load(nowNanos) + 1 <= server.announced().slots())
        .filter(server -> answersInTime(attempt, server, nowNanos))
        .min(byExpectedAnswer)
        .<Choice>map(server -> use(server, reason + "-free", objectHash, nowNanos))
        .orElseGet(() -> new Choice.None(refusal));
  }

  private static String refusal(Attempt attempt, ServerState server, long nowNanos) {
    if (server.waitNanos(nowNanos) > maxWaitNanos(attempt, server, nowNanos)) {
      return "full";
    }
    return answersInTime(attempt, server, nowNanos) ? "" : "too-late";
  }

  /**
   * Returns the longest expected wait for which a request is sent to a server. If the wait has been
   * too long for answers in time for a while, only requests that are answered in time are sent, so
   * that the queue becomes short again.
   */
  private static double maxWaitNanos(Attempt attempt, ServerState server, long nowNanos) {
    long objective = attempt.objectiveNanos();
    if (attempt.waitLimit().isPresent()) {
      return Math.max(
          attempt.waitLimit().get().nanos(),
          attempt.waitLimit().get().minQueued()
              * server.meanServiceTimeNanos(nowNanos)
              / server.announced().slots());
    }
    double level = attempt.priorityLevel();
    double inTime = (1 - CALLER_MARGIN) * objective - server.meanServiceTimeNanos(nowNanos);
    return inTime > 0 && server.hasStandingQueue(inTime, objective, nowNanos)
        ? Math.max(
            interpolate(MAX_WAIT_IN_STANDING_QUEUE, level) * inTime,
            MIN_QUEUED_REQUESTS
                * server.meanServiceTimeNanos(nowNanos)
                / server.announced().slots())
        : interpolate(MAX_WAIT_IN_OBJECTIVES, level) * objective;
  }

  /** Returns the value for a level; levels between those of the array are interpolated. */
  private static double interpolate(double[] byLevel, double level) {
    double position = Math.min(Math.max(0, level), byLevel.length - 1);
    int before = (int) position;
    int after = Math.min(before + 1, byLevel.length - 1);
    return byLevel[before] + (position - before) * (byLevel[after] - byLevel[before]);
  }

  private static boolean answersInTime(Attempt attempt, ServerState server, long nowNanos) {
    return server.answerNanos(true, attempt.objectiveNanos(), nowNanos) <= attempt.remainingNanos();
  }

  private static Choice use(ServerState server, String reason, long objectHash, long nowNanos) {
    return new Choice.Use(server, reason, server.recentlyHandled(objectHash, nowNanos));
  }
}
