package org.toucanrack.internal.coordination.steer;

import java.time.Duration;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.RegionId;
import org.toucanrack.steering.AnnouncedServer;

/**
 * What this VM believes about one run of a backend server: its load, its speed and its faults, all
 * learned from answers. Not thread-safe.
 */
public final class ServerState {

  /** Shortest time in which the load that other VMs cause is forgotten. */
  private static final double MIN_LOAD_DECAY_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /**
   * Time in which the load that other VMs cause is forgotten, in mean times of work. A queue lasts
   * longer the slower its server works, and a VM hears less often of a slow service.
   */
  private static final double LOAD_DECAY_SERVICE_TIMES = 4;

  /** Weight of the newest observation in the moving average of faults. */
  private static final double FAULT_SMOOTHING_FACTOR = 0.15;

  /** Weight of the newest answer in the moving average of slowness. */
  private static final double SLOWNESS_SMOOTHING_FACTOR = 0.25;

  /** Bounds what a single answer tells of the slowness of a server. */
  private static final double MAX_SLOWNESS = 8;

  /** A server that is avoided for its faults or slowness gets another chance after about this. */
  private static final double FAULT_DECAY_NANOS = TimeUnit.SECONDS.toNanos(8);

  /** First pause after a failed connection; doubled with each further failure. */
  private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private static final long MAX_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** A server that refused for lack of room gets nothing for this long. */
  private static final long SHED_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(120);

  /** Failures in a row after which a server is paused. */
  private static final int CONSECUTIVE_FAILURES_UNTIL_PAUSE = 3;

  /** A server that got nothing about an object for this long has probably forgotten it. */
  private static final long OBJECT_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(12);

  /** Objects that are remembered for each server. */
  private static final int MAX_OBJECTS = 256;

  private AnnouncedServer announced;
  private final RegionId region;
  private final long hash;
  private final ServiceTimeEstimator serviceTimes;
  private final Set<SentAttempt> inFlight = Collections.newSetFromMap(new LinkedHashMap<>());
  private final SlidingWindowCounter recentColdSends =
      new SlidingWindowCounter(TimeUnit.MILLISECONDS.toNanos(1100));
  private final Map<Long, Long> recentObjects =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_OBJECTS;
        }
      };
  private double loadFromOtherVms;
  private long loadReportedNanos;
  private double slowness = 1;
  private double failureRate;
  private double shedRate;
  private long faultsUpdatedNanos;
  private int consecutiveFailures;
  private long pausedUntilNanos;
  private long coldUntilNanos;
  private long lastAnswerNanos;
  private boolean restartSuspected;

  /** An attempt that the server got. Told apart by identity. */
  public static final class SentAttempt {

    private final long sentNanos;
    private final long objectHash;
    private final boolean affinityHit;
    private final double queuePerSlot;

    private SentAttempt(long sentNanos, long objectHash, boolean affinityHit, double queuePerSlot) {
      this.sentNanos = sentNanos;
      this.objectHash = objectHash;
      this.affinityHit = affinityHit;
      this.queuePerSlot = queuePerSlot;
    }

    /** Returns when it was sent. */
    public long sentNanos() {
      return sentNanos;
    }
  }

  ServerState(
      AnnouncedServer announced,
      RegionId region,
      ServiceTimeEstimator serviceTimes,
      long nowNanos) {
    this.announced = announced;
    this.region = region;
    this.serviceTimes = serviceTimes;
    this.hash = StableHash.hash(announced.id().value());
    this.pausedUntilNanos = nowNanos;
    this.coldUntilNanos = nowNanos;
    this.lastAnswerNanos = nowNanos;
    this.loadReportedNanos = nowNanos;
    this.faultsUpdatedNanos = nowNanos;
  }

  /** Returns the newest announcement. */
  public AnnouncedServer announced() {
    return announced;
  }

  /** Returns the region of the server. */
  public RegionId region() {
    return region;
  }

  long hash() {
    return hash;
  }

  void updateAnnouncement(AnnouncedServer newest, long nowNanos, Duration coldMargin) {
    announced = newest;
    if (!newest.coldLeft().isZero()) {
      extendColdUntil(nowNanos + newest.coldLeft().plus(coldMargin).toNanos());
    } else if (!restartSuspected) {
      coldUntilNanos = nowNanos;
    }
  }

  /** Treats the server as cold until then at least. */
  void extendColdUntil(long untilNanos) {
    coldUntilNanos = Math.max(coldUntilNanos, untilNanos);
  }

  /** Returns whether the server may be cold. */
  public boolean isCold(long nowNanos) {
    return nowNanos < coldUntilNanos;
  }

  int recentColdSends(long nowNanos) {
    return recentColdSends.count(nowNanos);
  }

  /** Counts a request about an object that is sent now. */
  public SentAttempt recordSent(long objectHash, long nowNanos) {
    SentAttempt sent =
        new SentAttempt(
            nowNanos, objectHash, recentlyHandled(objectHash, nowNanos), queuePerSlot(nowNanos));
    inFlight.add(sent);
    recentObjects.put(objectHash, nowNanos);
    if (isCold(nowNanos)) {
      recentColdSends.record(nowNanos);
    }
    return sent;
  }

  /** Learns from an answer that the server made itself. */
  public void recordAnswer(SentAttempt sent, long nowNanos, boolean succeeded) {
    inFlight.remove(sent);
    lastAnswerNanos = nowNanos;
    consecutiveFailures = 0;
    restartSuspected = false;
    decayFaults(nowNanos);
    failureRate += FAULT_SMOOTHING_FACTOR * ((succeeded ? 0 : 1) - failureRate);
    shedRate -= FAULT_SMOOTHING_FACTOR * shedRate;
    if (succeeded) {
      double serviceTimeNanos = (nowNanos - sent.sentNanos) / (1 + sent.queuePerSlot);
      double relativeServiceTime =
          serviceTimeNanos
              / Math.max(1, serviceTimes.expectedNanos(sent.affinityHit, serviceTimeNanos));
      slowness +=
          SLOWNESS_SMOOTHING_FACTOR * (Math.min(MAX_SLOWNESS, relativeServiceTime) - slowness);
      serviceTimes.record(sent.affinityHit, serviceTimeNanos);
      recentObjects.put(sent.objectHash, nowNanos);
    } else {
      recentObjects.remove(sent.objectHash);
    }
  }

  /** Learns that the server refused a request unrun. */
  public void recordShed(SentAttempt sent, long nowNanos) {
    inFlight.remove(sent);
    recentObjects.remove(sent.objectHash);
    lastAnswerNanos = nowNanos;
    decayFaults(nowNanos);
    shedRate += FAULT_SMOOTHING_FACTOR * (1 - shedRate);
    pausedUntilNanos = Math.max(pausedUntilNanos, nowNanos + SHED_PAUSE_NANOS);
  }

  /** Learns that an attempt ended without an answer. */
  public void recordFailure(
      SentAttempt sent, long nowNanos, boolean connected, Duration coldPeriod) {
    inFlight.remove(sent);
    recentObjects.remove(sent.objectHash);
    decayFaults(nowNanos);
    failureRate += FAULT_SMOOTHING_FACTOR * (1 - failureRate);
    consecutiveFailures++;
    if (!connected || consecutiveFailures >= CONSECUTIVE_FAILURES_UNTIL_PAUSE) {
      int doublings = Math.min(3, Math.max(0, consecutiveFailures - 1));
      long pause = Math.min(MAX_PAUSE_NANOS, FIRST_PAUSE_NANOS << doublings);
      pausedUntilNanos = nowNanos + pause;
    }
    if (!connected) {
      // A server that could not be reached may come back restarted, and then it is cold.
      restartSuspected = true;
      extendColdUntil(pausedUntilNanos + coldPeriod.toNanos());
    }
  }

  /** Forgets an attempt that was given up by its caller. */
  public void recordAbandoned(SentAttempt sent) {
    inFlight.remove(sent);
    recentObjects.remove(sent.objectHash);
  }

  /** Learns the load that the server told in an answer. */
  public void recordReportedLoad(int requests, long nowNanos) {
    loadFromOtherVms = Math.max(0, requests - inFlight.size());
    loadReportedNanos = nowNanos;
  }

  /** Returns the estimated number of requests that the server runs or has waiting. */
  public double load(long nowNanos) {
    double age = Math.max(0, nowNanos - loadReportedNanos);
    double decay =
        Math.max(MIN_LOAD_DECAY_NANOS, LOAD_DECAY_SERVICE_TIMES * serviceTimes.meanNanos());
    return inFlight.size() + loadFromOtherVms * Math.exp(-age / decay);
  }

  /** Returns the estimated work of the server on one request, without its wait. */
  double serviceTimeNanos(boolean affinityHit, double priorNanos, long nowNanos) {
    return slowness(nowNanos) * serviceTimes.expectedNanos(affinityHit, priorNanos);
  }

  /** Returns how many times as long as usual the server needs for a request. */
  double slowness(long nowNanos) {
    return 1 + (slowness - 1) * faultDecay(nowNanos);
  }

  /** Returns whether the server handled an object lately, as far as this VM knows. */
  boolean recentlyHandled(long objectHash, long nowNanos) {
    Long handledNanos = recentObjects.get(objectHash);
    return handledNanos != null && nowNanos - handledNanos < OBJECT_RETENTION_NANOS;
  }

  /** Returns the estimated time until the server starts with one more request. */
  public double waitNanos(long nowNanos) {
    return queuePerSlot(nowNanos) * slowness(nowNanos) * serviceTimes.meanNanos();
  }

  private double queuePerSlot(long nowNanos) {
    int slots = announced.slots();
    return Math.max(0, load(nowNanos) + 1 - slots) / slots;
  }

  /** Returns whether the server is paused after failures or for lack of room. */
  public boolean isPaused(long nowNanos) {
    return nowNanos < pausedUntilNanos;
  }

  /** Returns the share of recent attempts that failed or were refused, from 0 to 1. */
  double faultRate(long nowNanos) {
    return Math.max(failureRate, shedRate) * faultDecay(nowNanos);
  }

  /** A server that is avoided gives no answer that could tell of its recovery, so time has to. */
  private double faultDecay(long nowNanos) {
    return Math.exp(-(nowNanos - faultsUpdatedNanos) / FAULT_DECAY_NANOS);
  }

  private void decayFaults(long nowNanos) {
    double decay = faultDecay(nowNanos);
    slowness = 1 + (slowness - 1) * decay;
    failureRate *= decay;
    shedRate *= decay;
    faultsUpdatedNanos = nowNanos;
  }

  /**
   * Returns whether requests have waited for this long without any answer from the server.
   *
   * @param limitNanos the longest wait that is still normal
   */
  boolean isUnresponsive(long nowNanos, long limitNanos) {
    return !inFlight.isEmpty()
        && nowNanos - inFlight.iterator().next().sentNanos > limitNanos
        && nowNanos - lastAnswerNanos > limitNanos;
  }
}
