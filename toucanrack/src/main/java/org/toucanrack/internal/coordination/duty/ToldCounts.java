package org.toucanrack.internal.coordination.duty;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.VmId;

/**
 * What one start of a VM told about the requests that servers began to run for it. Counts are
 * cumulative, so those with a higher sequence replace earlier ones of the same window.
 *
 * @param incarnation chosen when the VM started
 * @param windows the counts by window and customer
 */
public record ToldCounts(
    VmId vm, long incarnation, long sequence, SortedMap<Long, Map<CustomerId, Long>> windows) {

  /** Copies the counts. */
  public ToldCounts {
    TreeMap<Long, Map<CustomerId, Long>> copy = new TreeMap<>();
    windows.forEach((window, customers) -> copy.put(window, Map.copyOf(customers)));
    windows = Collections.unmodifiableSortedMap(copy);
  }

  /** Returns the counts of one window. */
  ToldCounts only(long window) {
    return new ToldCounts(
        vm, incarnation, sequence, new TreeMap<>(Map.of(window, windows.get(window))));
  }
}
