package org.toucanrack.internal.serve.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Objects;

/**
 * The VMs that a look-up names. Immutable and thread-safe.
 *
 * @param vms their addresses for callers
 * @param scope where they run, as seen from the caller
 */
record LookupAnswer(List<InetSocketAddress> vms, Scope scope) {

  LookupAnswer {
    vms = List.copyOf(vms);
    Objects.requireNonNull(scope, "scope");
    if (vms.isEmpty() != (scope == Scope.NONE)) {
      throw new IllegalArgumentException("scope " + scope + " with " + vms.size() + " VMs");
    }
  }

  /** Returns an answer that names no VM; callers try another one. */
  static LookupAnswer noVm() {
    return new LookupAnswer(List.of(), Scope.NONE);
  }

  /** Where the named VMs run. */
  enum Scope {
    /** In the region of the caller. */
    CALLERS_REGION,
    /** Only in other regions, where requests with home regions may not be allowed. */
    OTHER_REGIONS,
    /** Nowhere: no VM is named. */
    NONE;

    /** Returns the name in logs and metrics. */
    String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }
}
