package org.toucanrack.internal.coordination.duty;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.VmId;
import org.toucanrack.steering.UsageReport;
import org.toucanrack.steering.UsageReporting;
import org.toucanrack.steering.UsageSink;

/**
 * Decides the next call of the duty: a read or write of the row, or a report to the platform.
 *
 * <p>Invariants: at most one call is open at a time. Only counts that the store has confirmed as
 * final are reported. A report is sent only shortly after the duty was confirmed, except repeats of
 * final counts while no VM reaches the store. Not thread-safe.
 */
public final class DutySteps {

  /** Each candidate waits this much longer than the one before it, so that they rarely collide. */
  private static final long STAGGER_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /**
   * Candidates from this rank on wait far longer, so that a large fleet does not call a store that
   * is away from all VMs at once.
   */
  private static final int FIRST_FAR_RANK = 4;

  private static final long FAR_STAGGER_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final long MIN_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final long MAX_STORE_RETRY_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final long MAX_SEND_RETRY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Part of the platform's rate that is used, since late calls count against it too. */
  private static final double USED_RATE = 0.5;

  private final VmId self;
  private final UsageReporting reporting;
  private final DutyLease lease;
  private final UsageLedger ledger;
  private final ReportWindows windows;
  private final long confirmNanos;
  private final long freezeDelayNanos;
  private final Set<Long> accepted = new HashSet<>();
  private boolean callOpen;
  private int storeFailures;
  private long storeFailingSinceNanos;
  private long nextStoreNanos = Long.MIN_VALUE;
  private int sendFailures;
  private long nextSendNanos = Long.MIN_VALUE;

  /** What the next call is decided from, apart from the state of the duty. */
  public record Situation(Moment now, int rank, boolean othersReachStore) {}

  /** The next call. */
  public sealed interface Step {

    /** There is nothing to do now. */
    record Wait() implements Step {}

    /** Read the row. */
    record Read() implements Step {}

    /**
     * Write the row on the condition that it has a revision.
     *
     * @param skippedWindows number of windows that will never be reported
     */
    record Write(DutyRecord record, long expectedRevision, long skippedWindows) implements Step {}

    /** Send a report to the platform. */
    record Send(UsageReport report) implements Step {}
  }

  private static final Step WAIT = new Step.Wait();

  /** Creates the decision of a VM that has just started. */
  public DutySteps(VmId self, UsageReporting reporting, DutyLease lease, UsageLedger ledger) {
    this.self = self;
    this.reporting = reporting;
    this.lease = lease;
    this.ledger = ledger;
    this.windows = ReportWindows.of(reporting.window());
    this.confirmNanos = reporting.lease().toNanos() / 3;
    this.freezeDelayNanos = DutyLease.freezeDelayNanos(reporting);
  }

  /**
   * Returns the next call, which is open until one of the methods below is called.
   *
   * @param situation the state of the clocks and of the other VMs; a negative rank means that this
   *     VM must not hold the duty
   */
  public Step next(Situation situation) {
    stopIfStoreIsLost(situation);
    if (callOpen) {
      return WAIT;
    }
    Step step = lease.holds() ? nextOfHolder(situation) : nextOfCandidate(situation);
    callOpen = !(step instanceof Step.Wait);
    return step;
  }

  /** Leaves the duty to the other VMs if only this one has not reached the store for long. */
  private void stopIfStoreIsLost(Situation situation) {
    long now = situation.now().monotonicNanos();
    if (storeFailures > 0
        && situation.othersReachStore()
        && now - storeFailingSinceNanos >= reporting.lease().toNanos()) {
      lease.stop("store-lost", now);
    }
  }

  private Step nextOfCandidate(Situation situation) {
    Moment now = situation.now();
    if (situation.rank() < 0
        || !lease.isHolderSilent(staggerNanos(situation.rank()), now)
        || now.monotonicNanos() < nextStoreNanos
        || !now.trueTimeSettled()) {
      return WAIT;
    }
    if (!lease.hasFreshRead(now)) {
      return new Step.Read();
    }
    Optional<Long> worksUntil = lease.worksUntil(now);
    if (worksUntil.isPresent()) {
      nextStoreNanos =
          now.monotonicNanos()
              + Math.min(worksUntil.get() - now.trueNanos(), reporting.window().toNanos());
      return WAIT;
    }
    accepted.clear();
    return new Step.Write(lease.takeover(firstWindow(now), now), lease.revision().orElseThrow(), 0);
  }

  private static long staggerNanos(int rank) {
    return Math.min(rank, FIRST_FAR_RANK) * STAGGER_NANOS
        + Math.max(0, rank - FIRST_FAR_RANK) * FAR_STAGGER_NANOS;
  }

  /**
   * Returns the first window to report if there has been no holder. Other VMs may not have told
   * their counts yet, so it is one of half the delay of reports ago, which can still be in time.
   */
  private long firstWindow(Moment now) {
    long first = windows.windowAt(now.trueNanos() - reporting.reportDelay().toNanos() / 2);
    return Math.min(first, ledger.oldestCounted().orElse(first));
  }

  private Step nextOfHolder(Situation situation) {
    Moment now = situation.now();
    if (situation.rank() < 0) {
      lease.stop("leaving", now.monotonicNanos());
      return WAIT;
    }
    boolean storeDue = now.monotonicNanos() >= nextStoreNanos;
    if (storeDue && isFreezeDue(now)) {
      return lease.revision().map(revision -> freeze(revision, now)).orElseGet(Step.Read::new);
    }
    Optional<UsageReport> report = nextReport();
    if (report.isEmpty() || now.monotonicNanos() < nextSendNanos) {
      return WAIT;
    }
    if (lease.isConfirmedWithin(confirmNanos, now) || mayRepeatUnconfirmed(situation)) {
      return new Step.Send(report.get());
    }
    return storeDue ? new Step.Read() : WAIT;
  }

  /**
   * Returns whether a report may be repeated although the store does not answer. No other VM can
   * take the duty over while none reaches the store, and the platform rejects this fence if one
   * did.
   */
  private boolean mayRepeatUnconfirmed(Situation situation) {
    return storeFailures > 0
        && reporting.fenceRequired()
        && !situation.othersReachStore()
        && situation.now().ranAlikeSince(lease.confirmed(), confirmNanos);
  }

  private boolean isFreezeDue(Moment now) {
    return now.trueTimeSettled()
        && now.monotonicNanos() - lease.acquiredNanos() >= freezeDelayNanos
        && newestDueWindow(now) > lease.known().orElseThrow().frozenWindow();
  }

  private long newestDueWindow(Moment now) {
    return windows.windowAt(now.trueNanos() - freezeDelayNanos) - 1;
  }

  private Step freeze(long revision, Moment now) {
    DutyRecord record = lease.known().orElseThrow();
    long newest = newestDueWindow(now);
    long next = Math.max(record.frozenWindow() + 1, newest - ReportWindows.MAX_WINDOWS + 1);
    long unreported =
        record.reports().keySet().stream().filter(window -> !accepted.contains(window)).count();
    final long wanted = unreported + newest - record.frozenWindow();
    for (long window = next; window <= newest; window++) {
      record = record.freeze(window, ledger.total(window), accepted);
    }
    return new Step.Write(record, revision, wanted - record.reports().size());
  }

  private Optional<UsageReport> nextReport() {
    return lease
        .known()
        .flatMap(
            record ->
                record.reports().entrySet().stream()
                    .filter(report -> !accepted.contains(report.getKey()))
                    .findFirst()
                    .map(
                        report ->
                            new UsageReport(
                                self, lease.heldFence(), report.getKey(), report.getValue())));
  }

  /** Records the row that the store returned. */
  public void rowRead(DutyLease.ReadRow row, Moment issued, Moment now) {
    callOpen = false;
    if (lease.rowRead(row, issued, now)) {
      storeFailures = 0;
    } else {
      storeFailed(issued, now);
    }
  }

  /** Records that the store did not return the row. */
  public void readFailed(Moment issued, Moment now) {
    callOpen = false;
    storeFailed(issued, now);
  }

  /** Records that the store accepted the record. */
  public void written(DutyRecord record, Moment issued, Moment now) {
    callOpen = false;
    storeFailures = 0;
    lease.written(record, issued, now);
    accepted.retainAll(record.reports().keySet());
  }

  /** Records that the record was refused, or may be written later. */
  public void writeFailed(Moment issued, Moment now) {
    callOpen = false;
    lease.writeFailed();
    storeFailed(issued, now);
  }

  private void storeFailed(Moment issued, Moment now) {
    if (storeFailures == 0) {
      storeFailingSinceNanos = issued.monotonicNanos();
    }
    nextStoreNanos = now.monotonicNanos() + retryNanos(storeFailures++, MAX_STORE_RETRY_NANOS);
  }

  private static long retryNanos(int failures, long max) {
    return Math.min(max, MIN_RETRY_NANOS << Math.min(failures, 10));
  }

  /** Records what became of a report. */
  public void sent(UsageReport report, UsageSink.Outcome outcome, Moment now) {
    callOpen = false;
    long pace = (long) (TimeUnit.SECONDS.toNanos(1) / (reporting.callsPerSecond() * USED_RATE));
    switch (outcome) {
      case ACCEPTED -> {
        accepted.add(report.window());
        sendFailures = 0;
        nextSendNanos = now.monotonicNanos() + pace;
      }
      case FENCED -> {
        if (lease.heldFence() == report.fence()) {
          lease.fenced(now);
        }
      }
      default ->
          nextSendNanos =
              now.monotonicNanos()
                  + Math.max(pace, retryNanos(sendFailures++, MAX_SEND_RETRY_NANOS));
    }
  }
}
