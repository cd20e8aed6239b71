package org.toucanrack.internal.coordination.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.state.Member;

/**
 * Orders the VMs of a look-up answer: nearest failure domains that serve the service first, then
 * the others. Within a failure domain the order is stable for a client and differs between clients,
 * so that callers spread evenly. Stateless and thread-safe.
 */
public final class LookUpOrder {

  /** Maximum number of addresses in one answer. */
  public static final int MAX_ENTRIES = 8;

  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
  private static final int HASH_SHIFT_BITS = 32;

  private LookUpOrder() {}

  /**
   * Returns the addresses for callers in the order in which to try them.
   *
   * @param preferred failure domains for the client's address in order of preference; empty if
   *     unknown
   * @param own the failure domain of this VM
   * @param client identifies the client
   */
  public static List<String> addresses(
      RoutingIndex index,
      ServiceId service,
      List<FailureDomainId> preferred,
      FailureDomainId own,
      String client) {
    Set<FailureDomainId> serving = index.servingDomains(service);
    List<FailureDomainId> domains = byDistance(index, preferred, own);
    domains.sort(Comparator.comparingInt(domain -> serving.contains(domain) ? 0 : 1));
    return domains.stream()
        .flatMap(
            domain ->
                index.membersIn(domain).stream()
                    .filter(member -> !member.draining())
                    .sorted(
                        Comparator.comparingLong((Member member) -> weight(client, member))
                            .reversed()))
        .limit(MAX_ENTRIES)
        .map(Member::callersAddress)
        .toList();
  }

  private static List<FailureDomainId> byDistance(
      RoutingIndex index, List<FailureDomainId> preferred, FailureDomainId own) {
    FailureDomainId nearest = preferred.isEmpty() ? own : preferred.get(0);
    List<FailureDomainId> others = new ArrayList<>(index.regions().keySet());
    others.sort(
        Comparator.<FailureDomainId>comparingInt(domain -> index.distance(nearest, domain))
            .thenComparing(FailureDomainId::value));
    Set<FailureDomainId> ordered = new LinkedHashSet<>(preferred);
    ordered.addAll(others);
    return new ArrayList<>(ordered);
  }

  /** Weight for rendezvous hashing, with which a VM that leaves moves only its own clients. */
  private static long weight(String client, Member member) {
    long mixed =
        (long) client.hashCode() << HASH_SHIFT_BITS ^ member.incarnation().vm().value().hashCode();
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return (mixed ^ (mixed >>> 31)) * HASH_MULTIPLIER;
  }
}
