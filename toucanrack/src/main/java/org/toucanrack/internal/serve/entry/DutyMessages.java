package org.toucanrack.internal.serve.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.coordination.duty.DutyRecord;
import org.toucanrack.internal.coordination.duty.ToldCounts;
import org.toucanrack.internal.protocol.generated.DutyRow;
import org.toucanrack.internal.protocol.generated.UsageCounts;
import org.toucanrack.internal.protocol.generated.UsageWindow;

/** Converts the duty's record and counts to and from their messages. Stateless and thread-safe. */
final class DutyMessages {

  /** No VM gets more requests in a window; larger counts are malformed. */
  private static final long MAX_COUNT = 1L << 40;

  private DutyMessages() {}

  static DutyRow encode(DutyRecord record) {
    DutyRow.Builder row =
        DutyRow.newBuilder()
            .setHolder(record.holder().value())
            .setIncarnation(record.incarnation())
            .setFence(record.fence())
            .setFrozenWindow(record.frozenWindow());
    record.reports().forEach((window, counts) -> row.addWindows(encodeWindow(window, counts)));
    return row.build();
  }

  static UsageCounts encode(ToldCounts told) {
    UsageCounts.Builder message =
        UsageCounts.newBuilder()
            .setVm(told.vm().value())
            .setIncarnation(told.incarnation())
            .setSequence(told.sequence());
    told.windows()
        .forEach((window, customers) -> message.addWindows(encodeWindow(window, customers)));
    return message.build();
  }

  /**
   * Decodes a record.
   *
   * @throws RuntimeException if it is malformed
   */
  static DutyRecord decode(DutyRow row) {
    TreeMap<Long, Map<CustomerId, Long>> reports = new TreeMap<>();
    for (UsageWindow window : row.getWindowsList()) {
      reports.put(window.getWindow(), decodeWindow(window));
    }
    return new DutyRecord(
        new VmId(row.getHolder()),
        row.getIncarnation(),
        row.getFence(),
        row.getFrozenWindow(),
        reports);
  }

  /**
   * Decodes the counts that a VM told.
   *
   * @throws RuntimeException if they are malformed
   */
  static ToldCounts decode(UsageCounts message) {
    TreeMap<Long, Map<CustomerId, Long>> windows = new TreeMap<>();
    for (UsageWindow window : message.getWindowsList()) {
      windows.put(window.getWindow(), decodeWindow(window));
    }
    return new ToldCounts(
        new VmId(message.getVm()), message.getIncarnation(), message.getSequence(), windows);
  }

  private static UsageWindow encodeWindow(long window, Map<CustomerId, Long> counts) {
    UsageWindow.Builder message = UsageWindow.newBuilder().setWindow(window);
    counts.forEach(
        (customer, count) -> message.addCustomers(customer.value()).addCounts(count.longValue()));
    return message.build();
  }

  private static Map<CustomerId, Long> decodeWindow(UsageWindow window) {
    List<Long> counts = window.getCountsList();
    if (counts.size() != window.getCustomersCount()) {
      throw new IllegalArgumentException("not as many counts as customers");
    }
    Map<CustomerId, Long> decoded = new HashMap<>();
    for (int i = 0; i < counts.size(); i++) {
      long count = counts.get(i);
      if (count < 0 || count > MAX_COUNT) {
        throw new IllegalArgumentException("a count is out of range");
      }
      decoded.put(new CustomerId(window.getCustomers(i)), count);
    }
    return decoded;
  }
}
