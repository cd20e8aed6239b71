package org.toucanrack.internal.coordination.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.toucanrack.ToucanrackException;
import org.toucanrack.id.VmId;
import org.toucanrack.platform.Row;

/**
 * The rows of drains, moves and rollouts in the table as of one point in time. Confined to the
 * control thread.
 */
final class OperatorRecords {

  static final String DRAIN_PREFIX = "drain/";
  private static final String DRAINED_VM_PREFIX = "drain/vm/";
  static final List<String> PREFIXES = List.of(DRAIN_PREFIX, "move/", "rollout/");

  private final Map<String, Listing> pendingListings = new HashMap<>();
  private List<Row> rows = List.of();
  private long digest;
  private boolean known;
  private long asOfNanos;

  /**
   * Adds the listing of one prefix. When all prefixes have been listed, replaces the set as of the
   * oldest listing; returns whether the rows changed.
   */
  boolean addListing(String prefix, List<Row> listed, long startedAtNanos) {
    pendingListings.put(prefix, new Listing(listed, startedAtNanos));
    if (!pendingListings.keySet().containsAll(PREFIXES)) {
      return false;
    }
    long oldest =
        pendingListings.values().stream()
            .map(Listing::startedAtNanos)
            .min(Comparator.comparingLong(at -> at - startedAtNanos))
            .orElseThrow();
    List<Row> all = new ArrayList<>();
    PREFIXES.forEach(each -> all.addAll(pendingListings.get(each).rows()));
    pendingListings.clear();
    return replaceIfNewer(all, oldest);
  }

  /** Replaces the set if the given one is newer; returns whether the rows changed. */
  boolean replaceIfNewer(List<Row> newer, long newerAsOfNanos) {
    if (known && newerAsOfNanos - asOfNanos <= 0) {
      return false;
    }
    known = true;
    asOfNanos = newerAsOfNanos;
    long newDigest = digestOf(newer);
    if (newDigest == digest) {
      return false;
    }
    rows = List.copyOf(newer);
    digest = newDigest;
    return true;
  }

  /** Records that a peer had the same rows as of the given time. */
  void confirm(long confirmedAsOfNanos) {
    if (known && confirmedAsOfNanos - asOfNanos > 0) {
      asOfNanos = confirmedAsOfNanos;
    }
  }

  private static long digestOf(List<Row> rows) {
    long digest = 0;
    for (Row row : rows) {
      digest = (digest * 31 + row.key().hashCode()) * 1_000_003 + row.version();
    }
    return digest;
  }

  List<Row> rows() {
    return rows;
  }

  long digest() {
    return digest;
  }

  /** Returns the age of the set, if there is one. */
  Optional<Long> ageMillis(long nowNanos) {
    return known
        ? Optional.of((nowNanos - asOfNanos) / ControlTimings.NANOS_PER_MILLISECOND)
        : Optional.empty();
  }

  /** Returns the VMs that operators are draining. */
  Set<VmId> drainingVms() {
    return rows.stream()
        .filter(row -> row.key().startsWith(DRAINED_VM_PREFIX))
        .flatMap(row -> vmOf(row).stream())
        .collect(Collectors.toUnmodifiableSet());
  }

  private static Optional<VmId> vmOf(Row row) {
    try {
      return Optional.of(new VmId(row.key().substring(DRAINED_VM_PREFIX.length())));
    } catch (ToucanrackException e) {
      return Optional.empty();
    }
  }

  private record Listing(List<Row> rows, long startedAtNanos) {}
}
