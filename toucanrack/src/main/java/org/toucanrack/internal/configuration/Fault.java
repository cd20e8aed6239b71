package org.toucanrack.internal.configuration;

import java.util.Comparator;

/**
 * One fault of the declared configuration. Immutable and thread-safe.
 *
 * @param position line of the faulty value
 * @param message what is wrong and what to write instead
 */
record Fault(Position position, String message) implements Comparable<Fault> {

  private static final Comparator<Fault> ORDER =
      Comparator.comparing((Fault fault) -> fault.position().file())
          .thenComparingInt(fault -> fault.position().line())
          .thenComparing(Fault::message);

  @Override
  public int compareTo(Fault other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return position + ": " + message;
  }
}
