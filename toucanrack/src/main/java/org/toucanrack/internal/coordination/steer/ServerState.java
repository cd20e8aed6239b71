package org.toucanrack.internal.coordination.steer;

import java.time.Duration;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.RegionId;
import org.toucanrack.internal.coordination.admission.MachinePace;
import org.toucanrack.steering.AnnouncedServer;

/**
 * Estimates of the load, service time and faults of one run of a backend server, derived from its
 * answers. Not thread-safe.
 */
public final class ServerState {

  /** Shortest time constant with which the load caused by other VMs decays. */
  private static final double MIN_LOAD_DECAY_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /**
   * Time constant with which the load caused by other VMs decays, in mean service times. The slower
   * a server, the longer its queue lasts and the fewer load reports a VM gets.
   */
  private static final double LOAD_DECAY_SERVICE_TIMES = 4;

  /** Part of the time until an answer that counts as usual, however slow the machine was. */
  private static final double MIN_USUAL_FRACTION = 0.2;

  private AnnouncedServer announced;
  private final RegionId region;
  private final long hash;
  private final ServiceTimeEstimator serviceTimes;
  private final Set<SentAttempt> inFlight = Collections.newSetFromMap(new LinkedHashMap<>());
  private final SlidingWindowCounter recentColdSends =
      new SlidingWindowCounter(TimeUnit.MILLISECONDS.toNanos(1100));
  private final HandledObjects handledObjects = new HandledObjects();
  private final ServerFaults faults;
  private final ServerPauses pauses;
  private final StandingQueue standingQueue = new StandingQueue();
  private final MachinePace pace = new MachinePace();
  private double loadFromOtherVms;
  private long loadReportedNanos;
  private boolean leaving;
  private long coldUntilNanos;
  private long lastAnswerNanos;
  private boolean restartSuspected;

  /** An attempt that was sent to the server. Compared by identity. */
  public static final class SentAttempt {

    private final long sentNanos;
    private final long objectHash;
    private final boolean affinityHit;
    private final double queuePerSlot;
    private final double lostNanos;
    private double serviceNanos;

    private SentAttempt(
        long sentNanos,
        long objectHash,
        boolean affinityHit,
        double queuePerSlot,
        double lostNanos) {
      this.sentNanos = sentNanos;
      this.objectHash = objectHash;
      this.affinityHit = affinityHit;
      this.queuePerSlot = queuePerSlot;
      this.lostNanos = lostNanos;
    }

    /**
     * Returns the estimated service time at the usual pace, without queueing; 0 until a successful
     * answer is recorded.
     */
    public double serviceNanos() {
      return serviceNanos;
    }

    /** Returns when the attempt was sent. */
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
    this.faults = new ServerFaults(nowNanos);
    this.pauses = new ServerPauses(nowNanos);
    this.coldUntilNanos = nowNanos;
    this.lastAnswerNanos = nowNanos;
    this.loadReportedNanos = nowNanos;
  }

  /** Returns the latest announcement. */
  public AnnouncedServer announced() {
    return announced;
  }

  /** Returns the region that the server runs in. */
  public RegionId region() {
    return region;
  }

  long hash() {
    return hash;
  }

  void updateAnnouncement(AnnouncedServer newest, long nowNanos, Duration coldMargin) {
    announced = newest;
    if (!newest.remainingColdPeriod().isZero()) {
      extendColdUntil(nowNanos + newest.remainingColdPeriod().plus(coldMargin).toNanos());
    } else if (!restartSuspected) {
      coldUntilNanos = nowNanos;
    }
  }

  /** Treats the server as cold at least until the given time. */
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

  /**
   * Records a request that is sent now.
   *
   * @param objectHash hash of the object that the request is about
   */
  public SentAttempt recordSent(long objectHash, long nowNanos) {
    SentAttempt sent =
        new SentAttempt(
            nowNanos,
            objectHash,
            handledObjects.includes(objectHash, nowNanos),
            queuePerSlot(nowNanos),
            pace.lostNanos(nowNanos));
    inFlight.add(sent);
    handledObjects.record(objectHash, nowNanos);
    if (isCold(nowNanos)) {
      recentColdSends.record(nowNanos);
    }
    return sent;
  }

  /**
   * Records an answer produced by the server itself.
   *
   * @param succeeded whether the answer is not an error
   */
  public void recordAnswer(SentAttempt sent, long nowNanos, boolean succeeded) {
    inFlight.remove(sent);
    lastAnswerNanos = nowNanos;
    restartSuspected = false;
    pauses.recordAnswer(nowNanos);
    faults.recordAnswer(succeeded, nowNanos);
    if (succeeded) {
      double takenNanos = nowNanos - sent.sentNanos;
      // Time lost to the pace of the machine is not the server's. The estimate of it is rough, so
      // that part of the time taken always counts.
      double usualNanos =
          Math.max(
              MIN_USUAL_FRACTION * takenNanos,
              takenNanos - (pace.lostNanos(nowNanos) - sent.lostNanos));
      double serviceTimeNanos = usualNanos / (1 + sent.queuePerSlot);
      sent.serviceNanos = serviceTimeNanos;
      double relativeServiceTime =
          serviceTimeNanos
              / Math.max(1, serviceTimes.expectedNanos(sent.affinityHit, serviceTimeNanos));
      faults.recordServiceTime(relativeServiceTime);
      serviceTimes.record(sent.affinityHit, serviceTimeNanos);
      handledObjects.record(sent.objectHash, nowNanos);
    } else {
      handledObjects.remove(sent.objectHash);
    }
  }

  /** Records that the server refused a request without running it. */
  public void recordShed(SentAttempt sent, long nowNanos) {
    inFlight.remove(sent);
    handledObjects.remove(sent.objectHash);
    lastAnswerNanos = nowNanos;
    faults.recordRefusal(nowNanos);
    pauses.recordRefusal(nowNanos);
  }

  /** Records that the server has said that it is leaving; holds for the rest of its run. */
  public void recordLeaving() {
    leaving = true;
  }

  /** Returns whether the server has said that it is leaving. */
  public boolean isLeaving() {
    return leaving;
  }

  /** Records that the server wants no requests for some time; an earlier, longer pause holds. */
  public void recordRequestedPause(Duration pause, long nowNanos) {
    pauses.recordRequest(pause, nowNanos);
  }

  /** Returns whether a pause that the server asked for is not over yet. */
  public boolean isInRequestedPause(long nowNanos) {
    return pauses.isRequested(nowNanos);
  }

  /** Returns whether the server has asked for a pause, and an answer is still awaited. */
  boolean awaitsFirstAnswer() {
    return pauses.isAnswerMissing() && !inFlight.isEmpty();
  }

  /** Returns whether a pause is over that the server asked for, without an answer since. */
  public boolean isResuming(long nowNanos) {
    return pauses.isAnswerMissing() && !pauses.isRequested(nowNanos);
  }

  /** Returns whether something that the server said about its own run still holds. */
  boolean hasNotice(long nowNanos) {
    return leaving || pauses.isRequested(nowNanos);
  }

  /** Returns the time until all pauses are over. */
  long pauseNanos(long nowNanos) {
    return pauses.remainingNanos(nowNanos);
  }

  /**
   * Records an attempt that ended without an answer.
   *
   * @param connected whether the server could be reached
   * @param coldPeriod how long a server of the service is cold after a restart
   */
  public void recordFailure(
      SentAttempt sent, long nowNanos, boolean connected, Duration coldPeriod) {
    inFlight.remove(sent);
    handledObjects.remove(sent.objectHash);
    faults.recordFailure(nowNanos);
    pauses.recordFailure(connected, nowNanos);
    if (!connected) {
      // An unreachable server may have been restarted, in which case it is cold when it comes back.
      restartSuspected = true;
      extendColdUntil(pauses.faultPauseEndNanos() + coldPeriod.toNanos());
    }
  }

  /** Records that the caller gave up an attempt. */
  public void recordAbandoned(SentAttempt sent) {
    inFlight.remove(sent);
    handledObjects.remove(sent.objectHash);
  }

  /**
   * Records the load that the server reported in an answer.
   *
   * @param requests requests that it runs or has queued, including those of this VM
   */
  public void recordReportedLoad(int requests, long nowNanos) {
    loadFromOtherVms = Math.max(0, requests - inFlight.size());
    loadReportedNanos = nowNanos;
  }

  /**
   * Records the pace of the server's machine, to be called before the answer that reports it is
   * recorded.
   *
   * @param reportedPace duration of work there, relative to the usual one
   */
  public void recordPace(double reportedPace, long nowNanos) {
    pace.record(reportedPace, nowNanos);
  }

  /** Returns the estimated number of requests that the server runs or has queued. */
  public double load(long nowNanos) {
    double age = Math.max(0, nowNanos - loadReportedNanos);
    double decay =
        Math.max(MIN_LOAD_DECAY_NANOS, LOAD_DECAY_SERVICE_TIMES * serviceTimes.meanNanos());
    return inFlight.size() + loadFromOtherVms * Math.exp(-age / decay);
  }

  /** Returns the estimated service time of one request at the usual pace, without queueing. */
  double serviceTimeNanos(boolean affinityHit, double priorNanos, long nowNanos) {
    return slowness(nowNanos) * serviceTimes.expectedNanos(affinityHit, priorNanos);
  }

  /** Returns the ratio of the service time of this server to that of the whole service. */
  double slowness(long nowNanos) {
    return faults.slowness(nowNanos);
  }

  /** Returns whether the server handled an object recently, as far as this VM knows. */
  boolean recentlyHandled(long objectHash, long nowNanos) {
    return handledObjects.includes(objectHash, nowNanos);
  }

  /** Returns the estimated queueing time of one more request. */
  public double waitNanos(long nowNanos) {
    return pace.durationNanos(usualWaitNanos(nowNanos), nowNanos);
  }

  private double usualWaitNanos(long nowNanos) {
    return queuePerSlot(nowNanos) * slowness(nowNanos) * serviceTimes.meanNanos();
  }

  /** Returns the estimated time until the answer to one more request. */
  double answerNanos(boolean affinityHit, double priorNanos, long nowNanos) {
    return pace.durationNanos(
        usualWaitNanos(nowNanos) + serviceTimeNanos(affinityHit, priorNanos, nowNanos), nowNanos);
  }

  /** Returns the estimated service time of a request at the present hit rate. */
  double meanServiceTimeNanos(long nowNanos) {
    return slowness(nowNanos) * serviceTimes.meanNanos();
  }

  private double queuePerSlot(long nowNanos) {
    int slots = announced.slots();
    return Math.max(0, load(nowNanos) + 1 - slots) / slots;
  }

  /**
   * Returns whether the queue of the server has been too long for answers in time since at least
   * {@code burstNanos}.
   *
   * @param targetNanos the longest wait with which requests are answered in time
   */
  boolean hasStandingQueue(double targetNanos, long burstNanos, long nowNanos) {
    return standingQueue.update(waitNanos(nowNanos), targetNanos, burstNanos, nowNanos);
  }

  /** Returns whether the server is paused after failures or for lack of capacity. */
  public boolean isPaused(long nowNanos) {
    return pauses.isPausedForFaults(nowNanos);
  }

  /** Returns the share of recent attempts that failed or were refused, from 0 to 1. */
  double faultRate(long nowNanos) {
    return faults.rate(nowNanos);
  }

  /**
   * Returns whether requests have been waiting for this long without any answer of the server.
   *
   * @param limitNanos the longest wait that is still normal
   */
  boolean isUnresponsive(long nowNanos, long limitNanos) {
    return !inFlight.isEmpty()
        && nowNanos - inFlight.iterator().next().sentNanos > limitNanos
        && nowNanos - lastAnswerNanos > limitNanos;
  }
}
