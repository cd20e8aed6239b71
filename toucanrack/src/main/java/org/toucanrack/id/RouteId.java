package org.toucanrack.id;

/**
 * Names a route within its service.
 *
 * <p>Invariant: the value satisfies {@link NameRule}. Immutable and thread-safe.
 *
 * @param value the name, as written in the configuration
 */
public record RouteId(String value) implements Comparable<RouteId> {

  /** Rejects an invalid name. */
  public RouteId {
    NameRule.check("route", value);
  }

  @Override
  public int compareTo(RouteId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
