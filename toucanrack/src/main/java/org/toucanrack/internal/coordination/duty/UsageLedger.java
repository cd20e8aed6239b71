package org.toucanrack.internal.coordination.duty;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.VmId;

/**
 * The counts that all VMs have told, by window. Counts of one start of a VM are cumulative, so only
 * the latest told ones of a window are kept; those of several starts add up.
 *
 * <p>Invariant: counts are kept for at most {@link ReportWindows#MAX_WINDOWS} windows before the
 * current one and one after it, each bounded by the starts of VMs in its time and their customers.
 * Not thread-safe.
 */
public final class UsageLedger {

  /** Windows after the current one whose counts are kept, since true times differ a little. */
  private static final int MAX_WINDOWS_AHEAD = 1;

  private final TreeMap<Long, Map<Source, Told>> windows = new TreeMap<>();
  private long currentWindow;

  private record Source(VmId vm, long incarnation) {}

  private record Told(long sequence, Map<CustomerId, Long> counts, long receivedNanos) {}

  /** Sets the current window and drops the counts of windows that are too far from it. */
  public void setCurrentWindow(long window) {
    currentWindow = window;
    windows.headMap(oldestWindow(), false).clear();
    windows.tailMap(currentWindow + MAX_WINDOWS_AHEAD, false).clear();
  }

  private long oldestWindow() {
    return currentWindow - ReportWindows.MAX_WINDOWS;
  }

  /**
   * Records counts that were told now. Those of windows that are not kept, and those older than the
   * known ones, are ignored.
   */
  public void record(ToldCounts told, long nowNanos) {
    Source source = new Source(told.vm(), told.incarnation());
    told.windows()
        .forEach(
            (window, counts) -> {
              if (window >= oldestWindow() && window <= currentWindow + MAX_WINDOWS_AHEAD) {
                windows
                    .computeIfAbsent(window, key -> new HashMap<>())
                    .merge(
                        source,
                        new Told(told.sequence(), counts, nowNanos),
                        (before, after) -> after.sequence() >= before.sequence() ? after : before);
              }
            });
  }

  /**
   * Returns the counts of all starts of VMs that have told nothing since a time, each with one
   * window.
   */
  public List<ToldCounts> notToldSince(long nanos) {
    Set<Source> recent = new HashSet<>();
    windows
        .values()
        .forEach(
            sources ->
                sources.forEach(
                    (source, told) -> {
                      if (told.receivedNanos() - nanos >= 0) {
                        recent.add(source);
                      }
                    }));
    List<ToldCounts> found = new ArrayList<>();
    windows.forEach(
        (window, sources) ->
            sources.forEach(
                (source, told) -> {
                  if (!recent.contains(source)) {
                    found.add(
                        new ToldCounts(
                            source.vm(),
                            source.incarnation(),
                            told.sequence(),
                            new TreeMap<>(Map.of(window, told.counts()))));
                  }
                }));
    return found;
  }

  /** Returns the sum of the told counts of a window, without customers that have none. */
  public Map<CustomerId, Long> total(long window) {
    Map<CustomerId, Long> total = new HashMap<>();
    windows
        .getOrDefault(window, Map.of())
        .values()
        .forEach(
            told ->
                told.counts()
                    .forEach(
                        (customer, count) -> {
                          if (count > 0) {
                            total.merge(customer, count, Long::sum);
                          }
                        }));
    return total;
  }

  /** Returns the oldest window for which any VM told counts. */
  public OptionalLong oldestCounted() {
    return windows.isEmpty() ? OptionalLong.empty() : OptionalLong.of(windows.firstKey());
  }
}
