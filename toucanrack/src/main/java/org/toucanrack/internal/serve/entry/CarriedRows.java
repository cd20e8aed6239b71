package org.toucanrack.internal.serve.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.steering.RowCodec;
import org.toucanrack.steering.SharedRow;
import org.toucanrack.steering.SharedTable;
import org.toucanrack.steering.StoreEpoch;

/**
 * Decides which rows of an earlier epoch stay in force after the store came back from a copy. The
 * copy lacks the last writes of the operator and of the backend servers, who write their rows again
 * some time later.
 *
 * <p>A row is carried if the store lacks it or has it in an earlier state:
 *
 * <ul>
 *   <li>a configuration with a lower version, and any other order that differs, until the settling
 *       time is over;
 *   <li>a server that was ready, for as long as after an outage of the store, and then as removed
 *       if the store has an earlier run of it;
 *   <li>a server that was removed, or that is draining, until it announces itself again.
 * </ul>
 *
 * <p>Invariants: at most one state of a row is carried. A write of the row in the current epoch
 * ends this, except for a configuration with a lower version and for an announcement that is not
 * later than the last one of a removed or draining server. Does no I/O. Confined to the control
 * thread.
 */
final class CarriedRows {

  private final RowStates states;
  private final CopiedRevisions copiedRevisions = new CopiedRevisions();
  private final long settlingNanos;
  private final DecisionLog log;
  private final Map<SharedRow.RowKey, Carried> carried = new LinkedHashMap<>();

  /**
   * A row that stays in force.
   *
   * @param kept the row in force; without value if the row stays removed
   * @param stored what the store has instead; without value if it lacks the row
   * @param expiryNanos when the store's row comes into force; empty if a write is waited for
   * @param epoch the epoch that the revision of the kept row belongs to, if it is known
   */
  private record Carried(
      SharedRow kept, SharedRow stored, OptionalLong expiryNanos, Optional<StoreEpoch> epoch) {}

  /**
   * A carried row, for another VM.
   *
   * @param row the row in force; the last announcement of a server that stays removed
   * @param removed whether the row stays removed
   * @param remaining time for which it is carried; empty if a write is waited for
   */
  record Copy(SharedRow row, boolean removed, Optional<Duration> remaining) {}

  /**
   * Creates an instance that carries nothing.
   *
   * @param settlingTime time after a disruption in which the limits need not be kept yet
   */
  CarriedRows(RowCodec codec, Duration settlingTime, DecisionLog log) {
    this.states = new RowStates(codec);
    this.settlingNanos = settlingTime.toNanos();
    this.log = log;
  }

  /**
   * Decides about a table that was read in a later epoch.
   *
   * @param before all rows of the earlier epoch, with tombstones
   * @param read all rows of the later epoch, with a tombstone of each row that it lacks
   * @param serversUntilNanos until when servers may be carried that were ready
   * @return the rows that come into force, also of other tables
   */
  List<SharedRow> tableRead(
      SharedTable table, TableRows before, TableRows read, long nowNanos, long serversUntilNanos) {
    copiedRevisions.tableRead(before, read);
    Map<SharedRow.RowKey, SharedRow> known = new HashMap<>();
    before.rows().forEach(row -> known.put(row.key(), row));
    Set<SharedRow.RowKey> ofOtherEpochs = new HashSet<>();
    Map<SharedRow.RowKey, SharedRow> stored = new LinkedHashMap<>();
    carried.forEach(
        (key, earlier) -> {
          if (key.table() == table) {
            known.put(key, earlier.kept());
            ofOtherEpochs.add(key);
            stored.put(key, new SharedRow(key, earlier.stored().revision(), null));
          }
        });
    carried.keySet().removeIf(key -> key.table() == table);
    read.rows().forEach(row -> stored.put(row.key(), row));
    List<SharedRow> inForce = new ArrayList<>();
    stored.forEach(
        (key, row) -> {
          SharedRow kept = Optional.ofNullable(known.get(key)).orElse(removedOrUnknown(key));
          Optional<StoreEpoch> keptEpoch =
              ofOtherEpochs.contains(key) ? Optional.empty() : Optional.of(before.epoch());
          if (!carry(kept, row, keptEpoch, nowNanos, serversUntilNanos)) {
            inForce.add(row);
            states.rememberRemoval(kept, row, nowNanos);
          }
        });
    inForce.addAll(releaseIf(row -> wasRemovedAfterRestore(row), nowNanos));
    return inForce;
  }

  /** The rows of a table, with the epoch that their revisions belong to. */
  record TableRows(Collection<SharedRow> rows, StoreEpoch epoch) {}

  private boolean wasRemovedAfterRestore(Carried row) {
    return !row.kept().isRemoved()
        && row.stored().isRemoved()
        && row.epoch().isPresent()
        && copiedRevisions.hasReached(row.kept().revision(), row.epoch().get());
  }

  /** Returns a tombstone of a server whose removal another VM told, and of any unknown row. */
  private static SharedRow removedOrUnknown(SharedRow.RowKey key) {
    return new SharedRow(key, 0, null);
  }

  /** Carries a known state of a row instead of the store's, if it has to be; returns whether. */
  private boolean carry(
      SharedRow known,
      SharedRow stored,
      Optional<StoreEpoch> knownEpoch,
      long nowNanos,
      long serversUntilNanos) {
    boolean isServer = known.key().table() == SharedTable.SERVERS;
    if (!states.isEarlier(stored, known)) {
      return false;
    }
    OptionalLong expiryNanos;
    if (isServer) {
      expiryNanos =
          states.staysUnused(known) ? OptionalLong.empty() : OptionalLong.of(serversUntilNanos);
    } else {
      expiryNanos = OptionalLong.of(nowNanos + settlingNanos);
    }
    return carry(new Carried(known, stored, expiryNanos, knownEpoch), nowNanos);
  }

  private boolean carry(Carried row, long nowNanos) {
    SharedRow kept = row.kept();
    OptionalLong expiryNanos = row.expiryNanos();
    boolean isOver = expiryNanos.isPresent() && expiryNanos.getAsLong() - nowNanos <= 0;
    if (isOver || wasRemovedAfterRestore(row)) {
      return false;
    }
    carried.put(kept.key(), row);
    log.event(
        "row-carried",
        "table",
        kept.key().table(),
        "row",
        kept.key().name(),
        "removed",
        kept.isRemoved(),
        "ms",
        expiryNanos.isPresent()
            ? TimeUnit.NANOSECONDS.toMillis(expiryNanos.getAsLong() - nowNanos)
            : -1);
    return true;
  }

  /**
   * Decides about a row that was written in the current epoch.
   *
   * @param before the state of the row until now, if it is known and not removed
   * @return whether the row comes into force
   */
  boolean rowWritten(SharedRow row, Optional<SharedRow> before, long nowNanos) {
    Carried current = carried.get(row.key());
    // Another VM that read the table later gives its tombstone of a missing row a higher revision.
    boolean stillMissing =
        current != null
            && row.isRemoved()
            && current.stored().isRemoved()
            && !current.kept().isRemoved();
    if (stillMissing || (current != null && states.isEarlierWrite(row, current.kept()))) {
      carried.put(
          row.key(), new Carried(current.kept(), row, current.expiryNanos(), current.epoch()));
      return false;
    }
    carried.remove(row.key());
    Optional<SharedRow> known = current == null ? before : Optional.of(current.kept());
    known.ifPresent(earlier -> states.rememberRemoval(earlier, row, nowNanos));
    if (!row.isRemoved()) {
      states.forgetRemoval(row.key());
    }
    return true;
  }

  /**
   * Adopts a row that another VM carries, if the own table shows an earlier state.
   *
   * @param stored what the store has, if anything
   * @return the row that comes into force, if this changes
   */
  Optional<SharedRow> adopt(Copy copy, Optional<SharedRow> stored, long nowNanos) {
    SharedRow.RowKey key = copy.row().key();
    if (carried.containsKey(key) || states.wasRemovedSince(copy.row(), copy.removed())) {
      return Optional.empty();
    }
    if (copy.removed() && key.table() == SharedTable.SERVERS) {
      states.rememberRemovalIfUnknown(copy.row(), nowNanos);
    }
    SharedRow kept = copy.removed() ? new SharedRow(key, copy.row().revision(), null) : copy.row();
    SharedRow inStore = stored.orElse(new SharedRow(key, 0, null));
    OptionalLong expiryNanos =
        copy.remaining().isPresent()
            ? OptionalLong.of(nowNanos + Math.min(copy.remaining().get().toNanos(), settlingNanos))
            : OptionalLong.empty();
    boolean mayCarry = expiryNanos.isPresent() || states.staysUnused(kept);
    return states.isEarlier(inStore, kept)
            && mayCarry
            && carry(new Carried(kept, inStore, expiryNanos, Optional.empty()), nowNanos)
        ? Optional.of(kept)
        : Optional.empty();
  }

  /** Returns the carried rows for another VM. */
  List<Copy> copies(long nowNanos) {
    List<Copy> copies = new ArrayList<>();
    for (Carried row : carried.values()) {
      Optional<Duration> remaining =
          row.expiryNanos().isPresent()
              ? Optional.of(Duration.ofNanos(row.expiryNanos().getAsLong() - nowNanos))
              : Optional.empty();
      if (remaining.isEmpty() || remaining.get().toMillis() > 0) {
        copies.add(
            new Copy(states.lastAnnouncement(row.kept()), row.kept().isRemoved(), remaining));
      }
    }
    return copies;
  }

  /** Stops carrying rows whose time is over; returns the store's rows, which come into force. */
  List<SharedRow> removeExpired(long nowNanos) {
    states.forgetOldRemovals(carried::containsKey, nowNanos);
    return releaseIf(
        row -> row.expiryNanos().isPresent() && nowNanos - row.expiryNanos().getAsLong() >= 0,
        nowNanos);
  }

  private List<SharedRow> releaseIf(Predicate<Carried> condition, long nowNanos) {
    List<Carried> released = carried.values().stream().filter(condition).toList();
    List<SharedRow> inForce = new ArrayList<>();
    for (Carried row : released) {
      carried.remove(row.kept().key());
      inForce.add(release(row, nowNanos));
    }
    return inForce;
  }

  /**
   * Returns the row that comes into force instead of a carried one: the store's, unless it is an
   * earlier run of the server. Its process has ended, so the server stays removed until it
   * announces itself.
   */
  private SharedRow release(Carried row, long nowNanos) {
    SharedRow kept = row.kept();
    boolean isEarlierRun = states.isEarlierRun(row.stored(), kept);
    SharedRow next = isEarlierRun ? new SharedRow(kept.key(), kept.revision(), null) : row.stored();
    states.rememberRemoval(kept, next, nowNanos);
    if (isEarlierRun) {
      carried.put(kept.key(), new Carried(next, row.stored(), OptionalLong.empty(), row.epoch()));
    }
    log.event(
        "row-released",
        "table",
        kept.key().table(),
        "row",
        kept.key().name(),
        "removed",
        next.isRemoved());
    return next;
  }
}
