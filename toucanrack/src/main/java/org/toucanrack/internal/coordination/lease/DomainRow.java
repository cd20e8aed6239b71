package org.toucanrack.internal.coordination.lease;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.Incarnation;

/**
 * The table's row of one failure domain: its members and the owners of its resources. Immutable and
 * thread-safe.
 *
 * <p>Invariant: written rows of a failure domain with the same generation differ only in renewal
 * counters, configuration versions and the operation. A new configuration version does not raise
 * the generation, since each change of the configuration would then send the rows of all failure
 * domains to every VM.
 *
 * @param failureDomain the failure domain
 * @param generation increases with each change of members or assignments
 * @param lastEpoch the highest epoch assigned so far, also to resources that no longer exist
 * @param configurationVersion version of the configuration whose resources are listed
 * @param operation the operation id of the write
 * @param members the members by incarnation
 * @param assignments the resources with their owners
 */
public record DomainRow(
    FailureDomainId failureDomain,
    long generation,
    long lastEpoch,
    long configurationVersion,
    String operation,
    Map<Incarnation, RowMember> members,
    SortedMap<ResourceId, ResourceAssignment> assignments) {

  /** Prefix of the keys of domain rows. */
  public static final String KEY_PREFIX = "domain/";

  /** Copies the maps. */
  public DomainRow {
    members = Map.copyOf(members);
    assignments = Collections.unmodifiableSortedMap(new TreeMap<>(assignments));
  }

  /** Returns the row of a failure domain that has no members yet. */
  public static DomainRow empty(FailureDomainId domain) {
    return new DomainRow(domain, 0, 0, 0, "", Map.of(), new TreeMap<>());
  }

  /** Returns the table key of a failure domain's row. */
  public static String key(FailureDomainId domain) {
    return KEY_PREFIX + domain.value();
  }

  /** Returns the member with this incarnation. */
  public Optional<RowMember> member(Incarnation incarnation) {
    return Optional.ofNullable(members.get(incarnation));
  }

  /** Returns how many resources the incarnation owns. */
  public long countOwnedBy(Incarnation incarnation) {
    return assignments.values().stream()
        .filter(assignment -> assignment.isOwnedBy(incarnation))
        .count();
  }

  boolean equalsIgnoringCounters(DomainRow other) {
    return lastEpoch == other.lastEpoch
        && assignments.equals(other.assignments)
        && members.keySet().equals(other.members.keySet())
        && members.values().stream()
            .allMatch(
                one -> one.member().equals(other.members.get(one.member().incarnation()).member()));
  }
}
