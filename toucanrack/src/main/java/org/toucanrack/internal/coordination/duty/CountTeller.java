package org.toucanrack.internal.coordination.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.VmId;
import org.toucanrack.steering.UsageReporting;

/**
 * Decides which counts this VM tells the holder of the duty and the VM that would take it over:
 * usually its own of the windows that are not final yet. After the holder has changed, it tells its
 * own counts of all kept windows, and those of VMs that no longer tell theirs: a VM that was killed
 * may have told them to others than the new holder. Not thread-safe.
 */
public final class CountTeller {

  /** Longest interval at which counts are told; a killed VM loses those of the last interval. */
  private static final long MAX_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Timers fire with varying delay, so counts that are early by up to this much are due. */
  private static final long TIMER_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /**
   * Time without counts of a VM after which this VM passes on those that it knows. It is longer
   * than the interval of telling and shorter than the time until another VM takes the duty over.
   */
  private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Number of times that all kept windows are told to a new holder, since datagrams get lost. */
  private static final int FULL_TELLINGS = 2;

  private final VmId self;
  private final long incarnation;
  private final UsageCounter counter;
  private final UsageLedger ledger;
  private final ReportWindows windows;
  private final long intervalNanos;
  private final long recentNanos;
  private long sequence;
  private long toldNanos = Long.MIN_VALUE / 2;
  private long toldFence;
  private int fullTellings = FULL_TELLINGS;

  /** Creates the state of a VM that has told nothing yet. */
  public CountTeller(
      VmId self,
      long incarnation,
      UsageReporting reporting,
      UsageCounter counter,
      UsageLedger ledger) {
    this.self = self;
    this.incarnation = incarnation;
    this.counter = counter;
    this.ledger = ledger;
    this.windows = ReportWindows.of(reporting.window());
    long delayNanos = reporting.reportDelay().toNanos();
    this.intervalNanos = Math.min(MAX_INTERVAL_NANOS, delayNanos / 10) - TIMER_TOLERANCE_NANOS;
    // Longer than the time after which the counts of a window become final.
    this.recentNanos = delayNanos / 4;
  }

  /** Returns whether counts are to be told now. */
  public boolean isDue(Moment now) {
    return now.monotonicNanos() - toldNanos >= intervalNanos;
  }

  /**
   * Records the counts of this VM in its own ledger and returns those to tell. Each element fits
   * into a datagram.
   *
   * @param fence the fence of the current holder
   */
  public List<ToldCounts> tell(long fence, Moment now) {
    toldNanos = now.monotonicNanos();
    ToldCounts own =
        new ToldCounts(self, incarnation, ++sequence, new TreeMap<>(counter.published()));
    ledger.record(own, now.monotonicNanos());
    if (toldFence != fence) {
      toldFence = fence;
      fullTellings = FULL_TELLINGS;
    }
    if (fullTellings > 0) {
      fullTellings--;
      // One window each, since all of them together can exceed the size of a datagram.
      List<ToldCounts> told = new ArrayList<>();
      own.windows().keySet().forEach(window -> told.add(own.only(window)));
      told.addAll(ledger.notToldSince(now.monotonicNanos() - SILENT_NANOS));
      return told;
    }
    SortedMap<Long, Map<CustomerId, Long>> recent = new TreeMap<>(own.windows());
    recent.keySet().removeIf(window -> windows.endNanos(window) <= now.trueNanos() - recentNanos);
    return recent.isEmpty()
        ? List.of()
        : List.of(new ToldCounts(self, incarnation, sequence, recent));
  }
}
