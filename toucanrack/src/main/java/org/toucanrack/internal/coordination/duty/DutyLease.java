package org.toucanrack.internal.coordination.duty;

import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.VmId;
import org.toucanrack.steering.UsageReporting;

/**
 * Whether this VM holds the duty, with which fence, and when it may take it over.
 *
 * <p>Invariants: this VM holds the duty only after the store has confirmed a record that names its
 * current start, and no longer once it knows of a higher fence. A fence is used by the one start of
 * a VM whose record the store accepted under it: each record is written on the condition that the
 * row is as it was read, with a higher fence than any that this VM knows of. Not thread-safe.
 */
public final class DutyLease {

  /** Revision of a row that has to be read before it can be written. */
  private static final long UNKNOWN_REVISION = -1;

  /** Time by which the freezing of a window may be late in the row of a holder that works. */
  private static final long FREEZE_LATENESS_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Age up to which a read row may be the base of a takeover. */
  private static final long MAX_READ_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final VmId self;
  private final long incarnation;
  private final long leaseNanos;
  private final ReportWindows windows;
  private final long freezeDelayNanos;

  /** All that is known of the row from reads, own writes and copies by its holder. */
  private Optional<DutyRecord> known = Optional.empty();

  private long revision = UNKNOWN_REVISION;

  /** The row has at least this revision, except after the store has lost changes. */
  private long minRevision;

  private long staleSinceNanos = Long.MIN_VALUE;
  private boolean rowReadable = true;
  private Moment lastRead;
  private Moment confirmed;
  private boolean holding;
  private long acquiredNanos;
  private final HolderSigns signs;

  /** The highest own fence that the platform has rejected; -1 if it has rejected none. */
  private long fencedFence = -1;

  /** Whether the platform has rejected a fence since this VM last took the duty over. */
  private boolean fencedSinceTakeover;

  private long rowFence;
  private String lastChange = "";

  /** Creates the state of a VM that has just started. */
  public DutyLease(VmId self, long incarnation, UsageReporting reporting, long nowNanos) {
    this.self = self;
    this.incarnation = incarnation;
    this.leaseNanos = reporting.lease().toNanos();
    this.windows = ReportWindows.of(reporting.window());
    this.freezeDelayNanos = freezeDelayNanos(reporting);
    this.signs = new HolderSigns(self, reporting, nowNanos);
  }

  /**
   * Returns the time after the end of a window at which its counts become final: a fifth of the
   * time until the report is due, so that a takeover before the report still ends in time.
   */
  static long freezeDelayNanos(UsageReporting reporting) {
    return reporting.reportDelay().toNanos() / 5;
  }

  /** Records a heartbeat of another VM. */
  public void heard(HolderSigns.Heard heard, long nowNanos) {
    if (signs.heard(heard, nowNanos)) {
      stop("higher-fence", nowNanos);
    }
  }

  /** Records the copy of a row that its holder sent. */
  public void copyReceived(DutyRecord copy, long nowNanos) {
    if (copy.fence() < signs.highestFence()
        || copy.fence() > HolderSigns.MAX_FENCE
        || copy.isHeldBy(self, incarnation)) {
      return;
    }
    if (signs.learn(copy.holder(), copy.fence(), nowNanos)) {
      stop("higher-fence", nowNanos);
    }
    remember(copy);
  }

  /** The content of the row as one read returned it. */
  public record ReadRow(long revision, Optional<DutyRecord> record, boolean readable) {}

  /**
   * Records the result of a read.
   *
   * @param issued when the call was made
   * @return whether the result is used; a result of a copy that lags behind is not
   */
  public boolean rowRead(ReadRow row, Moment issued, Moment now) {
    if (row.revision() < minRevision) {
      if (staleSinceNanos == Long.MIN_VALUE) {
        staleSinceNanos = now.monotonicNanos();
      }
      if (now.monotonicNanos() - staleSinceNanos < leaseNanos) {
        return false;
      }
      // A copy does not lag behind for so long: the store has lost changes.
    }
    staleSinceNanos = Long.MIN_VALUE;
    minRevision = row.revision();
    revision = row.revision();
    rowReadable = row.readable();
    rowFence = row.record().map(DutyRecord::fence).orElse(0L);
    lastRead = issued;
    Optional<DutyRecord> read = row.record();
    read.ifPresent(record -> signs.learn(record.holder(), record.fence(), now.monotonicNanos()));
    read.ifPresent(this::remember);
    boolean isMine = read.filter(this::isMine).isPresent();
    if (holding && !isMine) {
      stop(rowReadable ? "row-changed" : "row-unreadable", now.monotonicNanos());
    } else if (isMine && !holding) {
      hold(now);
    }
    if (isMine) {
      confirmed = issued;
    }
    return true;
  }

  private boolean isMine(DutyRecord record) {
    return record.isHeldBy(self, incarnation)
        && record.fence() >= signs.highestFence()
        && record.fence() != fencedFence;
  }

  /** Records that the store accepted a write of this VM. */
  public void written(DutyRecord record, Moment issued, Moment now) {
    minRevision = Math.max(minRevision, revision + 1);
    revision = UNKNOWN_REVISION;
    if (record.fence() < signs.highestFence() || record.fence() == fencedFence) {
      return;
    }
    known = Optional.of(record);
    signs.learn(self, record.fence(), now.monotonicNanos());
    confirmed = issued;
    if (!holding) {
      fencedSinceTakeover = false;
      hold(now);
    }
  }

  /** Records that a write was refused, or may take effect later. */
  public void writeFailed() {
    revision = UNKNOWN_REVISION;
    lastRead = null;
  }

  private void hold(Moment now) {
    holding = true;
    acquiredNanos = now.monotonicNanos();
    lastChange = "taken";
  }

  /** Ends the duty because the platform has seen a higher fence. */
  public void fenced(Moment now) {
    fencedFence = known.map(DutyRecord::fence).orElse(0L);
    fencedSinceTakeover = true;
    stop("fenced", now.monotonicNanos());
  }

  /** Ends the duty; it can be taken over again after the same silence as another VM's. */
  public void stop(String reason, long nowNanos) {
    if (holding) {
      holding = false;
      lastChange = reason;
      signs.ownDutyEnded(nowNanos);
      lastRead = null;
    }
  }

  private void remember(DutyRecord record) {
    known = Optional.of(known.map(before -> before.merge(record)).orElse(record));
  }

  /** Returns whether this VM holds the duty, as far as it knows. */
  public boolean holds() {
    return holding;
  }

  /** Returns the fence with which this VM holds the duty, or 0. */
  public long heldFence() {
    return holding ? signs.highestFence() : 0;
  }

  /** Returns why the duty was last taken or ended. */
  public String lastChange() {
    return lastChange;
  }

  /** Returns the VM that holds the duty as far as this one knows; it may have stopped. */
  public Optional<VmId> holder() {
    return holding ? Optional.of(self) : signs.holder();
  }

  /** Returns the highest known fence. */
  public long highestFence() {
    return signs.highestFence();
  }

  /** Returns what is known of the row. */
  public Optional<DutyRecord> known() {
    return known;
  }

  /** Returns the revision on which the next write is conditional, if the row need not be read. */
  public Optional<Long> revision() {
    return revision == UNKNOWN_REVISION ? Optional.empty() : Optional.of(revision);
  }

  long acquiredNanos() {
    return acquiredNanos;
  }

  Moment confirmed() {
    return confirmed;
  }

  /** Returns whether the duty was confirmed at most this long ago by the VM's own clocks. */
  boolean isConfirmedWithin(long nanos, Moment now) {
    return holding && now.isWithin(nanos, confirmed);
  }

  /** Returns whether the holder is to be replaced; see {@link HolderSigns#isSilent}. */
  boolean isHolderSilent(long extraNanos, Moment now) {
    return signs.isSilent(extraNanos, now.monotonicNanos());
  }

  boolean hasFreshRead(Moment now) {
    return revision != UNKNOWN_REVISION
        && lastRead != null
        && now.isWithin(MAX_READ_AGE_NANOS, lastRead);
  }

  /**
   * Returns until which true time the row shows that its holder still works, although this VM does
   * not hear it: until the next window should have been frozen. Otherwise two parts of the fleet
   * that do not hear each other would take the duty from each other again and again.
   */
  Optional<Long> worksUntil(Moment now) {
    if (!rowReadable || signs.released() || !now.trueTimeSettled()) {
      return Optional.empty();
    }
    return known
        .filter(
            record -> rowFence == signs.highestFence() && record.fence() == signs.highestFence())
        .filter(record -> !record.holder().equals(self) && record.fence() != fencedFence)
        .filter(record -> record.frozenWindow() <= windows.windowAt(now.trueNanos()))
        .map(
            record ->
                windows.endNanos(record.frozenWindow() + 1)
                    + freezeDelayNanos
                    + FREEZE_LATENESS_NANOS)
        .filter(until -> until > now.trueNanos());
  }

  /**
   * Returns the record with which this VM takes the duty over.
   *
   * @param firstWindow the window to report first if there has been no holder
   */
  DutyRecord takeover(long firstWindow, Moment now) {
    long fence = Math.max(signs.highestFence(), known.map(DutyRecord::fence).orElse(0L)) + 1;
    if (!rowReadable || fencedSinceTakeover) {
      // There may be a higher fence than the known ones. Fences rise by one per takeover, which is
      // far less often than once a second, so the seconds since 1970 are higher than all of them.
      fence = Math.max(fence, TimeUnit.NANOSECONDS.toSeconds(now.trueNanos()));
    }
    if (known.isEmpty() && rowReadable && signs.highestFence() == 0) {
      return new DutyRecord(self, incarnation, fence, firstWindow - 1, new TreeMap<>());
    }
    DutyRecord base =
        known.orElseGet(
            () -> new DutyRecord(self, incarnation, 1, Long.MIN_VALUE, new TreeMap<>()));
    long frozen = base.frozenWindow();
    boolean isComplete =
        (rowReadable && rowFence > 0 && rowFence >= signs.highestFence())
            || (base.isHeldBy(self, incarnation) && base.fence() == signs.highestFence());
    if (!isComplete) {
      // Another VM may have reported any window that had ended, with counts that are lost.
      frozen = Math.max(frozen, windows.windowAt(now.trueNanos()) - 1);
    }
    return new DutyRecord(self, incarnation, fence, frozen, base.reports());
  }
}
