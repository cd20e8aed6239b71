package org.toucanrack.internal.coordination.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Decides for one service, on one VM, which requests are shed while its servers cannot answer all
 * of them in time.
 *
 * <p>Load patterns: more callers than the servers can run, for longer than a burst; one customer at
 * many times its usual rate; callers that return at once. Without it, each kind of request waits in
 * proportion to its own objective, so that less urgent kinds with long objectives fill the queues
 * in which urgent kinds with short objectives are late; and refused requests move to servers that
 * do not know their objects, where they take several times the work.
 *
 * <p>While the service is scarce, a request is sent only if it is answered in time after the wait
 * at its server. A less urgent one is sent only where it does not wait, as long as more urgent ones
 * arrive, and a customer far above its equal part only behind one other request at most. Nothing
 * else holds requests back, so that servers are never idle while requests for them are shed.
 *
 * <p>Invariant: without scarcity there is no limit. The state is that of the last seconds; a VM
 * that restarts begins without scarcity. Not thread-safe.
 */
public final class ScarcityDecision {

  /**
   * Scarcity begins when this part of the requests is refused or expected to be late. Waiting for a
   * second more before it begins cost the most urgent requests 0.02 to 0.04 in time, in bursts of
   * one second as well as in sustained excess.
   */
  private static final double BEGIN_FRACTION = 0.3;

  /** Scarcity ends when less than this part of the requests is refused or expected to be late. */
  private static final double END_FRACTION = 0.05;

  /** Recent requests without which a VM knows too little to call a service scarce. */
  private static final double MIN_REQUESTS = 5;

  /** A more urgent priority counts while it has this many recent requests. */
  private static final double MIN_URGENT_REQUESTS = 1;

  /** Fraction of the latency objective that is left for the way between the caller and the VM. */
  private static final double CALLER_MARGIN = 0.1;

  /** Shortest longest wait, as a fraction of the objective, if the work alone takes as long. */
  private static final double MIN_WAIT_FRACTION = 0.1;

  /** A wait below this fraction of the objective is not called late. */
  private static final double HARMLESS_WAIT_FRACTION = 0.25;

  /** Requests that may wait in any case, so that slots are not idle between requests. */
  private static final int MIN_QUEUED = 2;

  private static final int MIN_QUEUED_FAR_ABOVE_EQUAL_PART = 1;

  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Factor by which counts fade in each interval: to a third within a second. */
  private static final double FADE_FACTOR = Math.exp(-0.2);

  /** Longest pause without requests after which intervals are counted one by one. */
  private static final int MAX_INTERVALS = 50;

  private static final double WORK_SMOOTHING_FACTOR = 0.05;
  private static final int MAX_ROUTES = 1024;

  private final TreeMap<Integer, RankLoad> ranks = new TreeMap<>();

  /** Mean work of the requests of each route. */
  private final Map<String, Double> workNanos =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
          return size() > MAX_ROUTES;
        }
      };

  private long intervalStartNanos;
  private boolean scarce;

  /** Creates the decision of a service that is not scarce. */
  public ScarcityDecision(long nowNanos) {
    this.intervalStartNanos = nowNanos;
  }

  /** Returns the limit on the wait of a request, if the service is scarce. */
  public Optional<WaitLimit> limit(AdmissionRequest request, long nowNanos) {
    update(nowNanos);
    if (!scarce) {
      return Optional.empty();
    }
    boolean urgentRequests =
        ranks.headMap(request.rank()).values().stream()
            .anyMatch(load -> load.requests() >= MIN_URGENT_REQUESTS);
    if (urgentRequests) {
      return Optional.of(new WaitLimit(0, 0));
    }
    RankLoad load = ranks.get(request.rank());
    return load != null && load.isFarAboveEqualPart(request.customer())
        ? Optional.of(new WaitLimit(0, MIN_QUEUED_FAR_ABOVE_EQUAL_PART))
        : Optional.of(new WaitLimit(longestWaitInTimeNanos(request), MIN_QUEUED));
  }

  /**
   * Records that a request is sent.
   *
   * @param waitNanos the expected wait at its server
   */
  public void recordSent(AdmissionRequest request, double waitNanos) {
    double harmlessNanos = HARMLESS_WAIT_FRACTION * request.objectiveNanos();
    boolean late = waitNanos > Math.max(harmlessNanos, longestWaitInTimeNanos(request));
    load(request).recordSent(request.customer(), late);
  }

  /** Records that there was no server for a request. */
  public void recordRefused(AdmissionRequest request) {
    load(request).recordRefused();
  }

  /**
   * Records the answer to a request.
   *
   * @param serviceNanos the estimated time for which it ran, without the wait
   */
  public void recordAnswer(AdmissionRequest request, double serviceNanos) {
    workNanos.merge(
        request.route(),
        serviceNanos,
        (mean, latest) -> mean + WORK_SMOOTHING_FACTOR * (latest - mean));
  }

  /** Returns whether requests are limited. */
  public boolean isScarce() {
    return scarce;
  }

  private RankLoad load(AdmissionRequest request) {
    return ranks.computeIfAbsent(request.rank(), rank -> new RankLoad());
  }

  private double longestWaitInTimeNanos(AdmissionRequest request) {
    double objective = request.objectiveNanos();
    double work = workNanos.getOrDefault(request.route(), objective / 2);
    return Math.max(MIN_WAIT_FRACTION * objective, (1 - CALLER_MARGIN) * objective - work);
  }

  private void update(long nowNanos) {
    long intervals = Math.min(MAX_INTERVALS, (nowNanos - intervalStartNanos) / INTERVAL_NANOS);
    if (intervals <= 0) {
      return;
    }
    intervalStartNanos = nowNanos;
    double requests = 0;
    double troubled = 0;
    for (RankLoad load : ranks.values()) {
      load.fade(Math.pow(FADE_FACTOR, intervals));
      requests += load.requests();
      troubled += load.troubled();
    }
    if (requests >= MIN_REQUESTS && troubled > BEGIN_FRACTION * requests) {
      scarce = true;
    } else if (requests < MIN_REQUESTS || troubled < END_FRACTION * requests) {
      scarce = false;
    }
  }
}
