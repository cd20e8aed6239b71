package org.toucanrack.internal.coordination.duty;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.TreeMap;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.VmId;

/**
 * What the row of the duty records. Immutable and thread-safe.
 *
 * <p>Invariant: at most {@link ReportWindows#MAX_WINDOWS} reports are listed, none of a window
 * after the newest frozen one.
 *
 * @param holder the VM that holds the duty
 * @param incarnation the start of that VM
 * @param fence the fence with which it holds the duty
 * @param frozenWindow the newest window whose counts are final
 * @param reports the final counts of the newest frozen window, and of earlier ones that the
 *     platform was not known to have accepted, by window
 */
public record DutyRecord(
    VmId holder,
    long incarnation,
    long fence,
    long frozenWindow,
    NavigableMap<Long, Map<CustomerId, Long>> reports) {

  /** Copies the reports and drops the oldest ones beyond the limit. */
  public DutyRecord {
    Objects.requireNonNull(holder, "holder");
    if (fence <= 0) {
      throw new IllegalArgumentException("the fence " + fence + " is not positive");
    }
    TreeMap<Long, Map<CustomerId, Long>> copy = new TreeMap<>();
    reports
        .headMap(frozenWindow, true)
        .forEach((window, counts) -> copy.put(window, Map.copyOf(counts)));
    while (copy.size() > ReportWindows.MAX_WINDOWS) {
      copy.pollFirstEntry();
    }
    reports = Collections.unmodifiableNavigableMap(copy);
  }

  /** Returns whether this start of a VM holds the duty by this record. */
  public boolean isHeldBy(VmId vm, long vmIncarnation) {
    return holder.equals(vm) && incarnation == vmIncarnation;
  }

  /** Returns the record after the counts of a later window have become final. */
  public DutyRecord freeze(
      long window, Map<CustomerId, Long> counts, Collection<Long> acceptedWindows) {
    if (window <= frozenWindow) {
      throw new IllegalArgumentException("window " + window + " is already frozen");
    }
    TreeMap<Long, Map<CustomerId, Long>> newReports = new TreeMap<>(reports);
    newReports.keySet().removeAll(acceptedWindows);
    newReports.put(window, counts);
    return new DutyRecord(holder, incarnation, fence, window, newReports);
  }

  /**
   * Returns what two records state together: the holder of the higher fence and the final counts of
   * both. Counts are final, so the records do not contradict each other.
   */
  public DutyRecord merge(DutyRecord other) {
    DutyRecord newer = other.fence > fence ? other : this;
    TreeMap<Long, Map<CustomerId, Long>> union = new TreeMap<>(reports);
    other.reports.forEach(union::putIfAbsent);
    return new DutyRecord(
        newer.holder,
        newer.incarnation,
        newer.fence,
        Math.max(frozenWindow, other.frozenWindow),
        union);
  }
}
