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

  private final TreeSet<Fault> found = new TreeSet<>();
  private int reports;

  void add(Position position, String message) {
    found.add(new Fault(position, message));
    reports++;
  }

  /** Returns how many faults were reported, to find out whether a part is free of them. */
  int reports() {
    return reports;
  }

  /** Builds an item, or returns empty if reading it reported a fault. */
  <T> Optional<T> unlessFaulty(Supplier<Supplier<T>> reading) {
    int before = reports;
    Supplier<T> build = reading.get();
    return reports == before ? Optional.of(build.get()) : Optional.empty();
  }

  /** Throws with all faults if there is any. */
  void throwIfAny() {
    if (found.isEmpty()) {
      return;
    }
    String list = found.stream().map(fault -> "\n  " + fault).collect(Collectors.joining());
    String count = found.size() == 1 ? "1 fault" : found.size() + " faults";
    throw new ToucanrackException(
        ErrorCode.INVALID_CONFIGURATION,
        "The configuration has " + count + "; nothing was applied." + list);
  }
}
