package org.toucanrack.internal.coordination.control;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.coordination.lease.DomainRow;
import org.toucanrack.internal.coordination.lease.RowMember;
import org.toucanrack.internal.state.Member;

/**
 * The newest known row of each failure domain. Confined to the control thread.
 *
 * <p>Invariant: a row is replaced by rows of higher versions only.
 */
final class DomainRows {

  private final Map<FailureDomainId, VersionedRow> rows = new HashMap<>();
  private long changeCount;

  /**
   * Stores a row that is known to be in the table if its version is higher; returns whether it was
   * stored.
   */
  boolean update(DomainRow row, String text, long version, long nowNanos) {
    VersionedRow known = rows.get(row.failureDomain());
    if (known != null && known.version() >= version) {
      return false;
    }
    boolean generationChanged = known == null || known.row().generation() != row.generation();
    long firstObservedNanos = known == null ? nowNanos : known.firstObservedNanos();
    rows.put(row.failureDomain(), new VersionedRow(row, text, version, firstObservedNanos));
    if (generationChanged) {
      changeCount++;
    }
    return true;
  }

  /** Raises the version of a row whose generation is unchanged. */
  void updateVersion(FailureDomainId domain, long generation, long version) {
    VersionedRow known = rows.get(domain);
    if (known != null && known.row().generation() == generation && known.version() < version) {
      rows.put(
          domain, new VersionedRow(known.row(), known.text(), version, known.firstObservedNanos()));
    }
  }

  Optional<VersionedRow> of(FailureDomainId domain) {
    return Optional.ofNullable(rows.get(domain));
  }

  Collection<VersionedRow> all() {
    return Collections.unmodifiableCollection(rows.values());
  }

  /** Returns a counter that increases with each change of members or owners. */
  long changeCount() {
    return changeCount;
  }

  /** Returns the members of a failure domain in the order in which they become relay. */
  List<Member> relayOrder(FailureDomainId domain) {
    return of(domain).stream()
        .flatMap(known -> known.row().members().values().stream())
        .map(RowMember::member)
        .sorted(RELAY_ORDER)
        .toList();
  }

  /** Returns the relay: the first member in order that is not excluded. */
  Optional<Member> relay(FailureDomainId domain, Predicate<Member> excluded) {
    return relayOrder(domain).stream().filter(excluded.negate()).findFirst();
  }

  Map<Incarnation, Member> members() {
    Map<Incarnation, Member> members = new LinkedHashMap<>();
    rows.values()
        .forEach(
            known ->
                known.row().members().forEach((id, member) -> members.put(id, member.member())));
    return members;
  }

  static final Comparator<Member> RELAY_ORDER =
      Comparator.comparing(Member::draining)
          .thenComparing(member -> member.incarnation().vm())
          .thenComparing(member -> member.incarnation().number());

  /**
   * A row with its version in the table. The renewal counters may be older than the version, since
   * peers forward a row only if its generation is new.
   */
  record VersionedRow(DomainRow row, String text, long version, long firstObservedNanos) {}
}
