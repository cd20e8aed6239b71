package org.toucanrack.internal.configuration;

import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;

/**
 * Collects all faults of one configuration, so that they are reported together. Not thread-safe.
 */
final class Faults {

  private final TreeSet<Fault> faults = new TreeSet<>();
  private int reportCount;

  void add(Position position, String message) {
    faults.add(new Fault(position, message));
    reportCount++;
  }

  /**
   * Returns the number of reports; if it is unchanged after a part was read, that part is valid.
   */
  int reportCount() {
    return reportCount;
  }

  /** Reads and builds an item; empty if reading it reported a fault. */
  <T> Optional<T> unlessFaulty(Supplier<Supplier<T>> reader) {
    int before = reportCount;
    Supplier<T> build = reader.get();
    return reportCount == before ? Optional.of(build.get()) : Optional.empty();
  }

  /** Throws with all faults if there is any. */
  void throwIfAny() {
    if (faults.isEmpty()) {
      return;
    }
    String list = faults.stream().map(fault -> "\n  " + fault).collect(Collectors.joining());
    String count = faults.size() == 1 ? "1 fault" : faults.size() + " faults";
    throw new ToucanrackException(
        ErrorCode.INVALID_CONFIGURATION,
        "The configuration has " + count + "; nothing was applied." + list);
  }
}
