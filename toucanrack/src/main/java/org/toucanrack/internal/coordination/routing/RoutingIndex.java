package org.toucanrack.internal.coordination.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.state.Member;

/**
 * Index of slot owners by service, version and failure domain, built when the snapshot changes so
 * that requests do not search the configuration. Immutable and thread-safe.
 */
public final class RoutingIndex {

  private record Target(ServiceId service, VersionId version) {}

  private final Map<Target, Map<FailureDomainId, List<OwnerSlots>>> owners = new HashMap<>();
  private final Map<Target, Set<FailureDomainId>> declared = new HashMap<>();
  private final Map<FailureDomainId, RegionId> regions = new HashMap<>();
  private final Map<FailureDomainId, List<Member>> members = new HashMap<>();

  /** Builds the index of a snapshot that has a configuration. */
  public RoutingIndex(ControlSnapshot snapshot) {
    Configuration configuration = snapshot.configuration().orElseThrow();
    configuration
        .deployment()
        .regions()
        .forEach(
            region -> region.failureDomains().forEach(domain -> regions.put(domain, region.id())));
    snapshot
        .members()
        .values()
        .forEach(
            member ->
                members
                    .computeIfAbsent(member.failureDomain(), domain -> new ArrayList<>())
                    .add(member));
    Map<Target, Map<Incarnation, Integer>> slots = new HashMap<>();
    for (BackendServer server : configuration.deployment().backendServers()) {
      Target target = new Target(server.service(), server.version());
      declared.computeIfAbsent(target, key -> new TreeSet<>()).add(server.failureDomain());
      snapshot
          .ownership()
          .ownerOf(server.id())
          .filter(snapshot.members()::containsKey)
          .ifPresent(
              owner ->
                  slots
                      .computeIfAbsent(target, key -> new LinkedHashMap<>())
                      .merge(owner, server.slots(), Integer::sum));
    }
    slots.forEach((target, byOwner) -> owners.put(target, byDomain(snapshot, byOwner)));
  }

  private static Map<FailureDomainId, List<OwnerSlots>> byDomain(
      ControlSnapshot snapshot, Map<Incarnation, Integer> byOwner) {
    Map<FailureDomainId, List<OwnerSlots>> domains = new HashMap<>();
    byOwner.forEach(
        (incarnation, slots) -> {
          Member member = snapshot.members().get(incarnation);
          domains
              .computeIfAbsent(member.failureDomain(), domain -> new ArrayList<>())
              .add(new OwnerSlots(member, slots));
        });
    return domains;
  }

  /** Returns the owners in a failure domain, possibly none. */
  public List<OwnerSlots> owners(ServiceId service, VersionId version, FailureDomainId domain) {
    return owners
        .getOrDefault(new Target(service, version), Map.of())
        .getOrDefault(domain, List.of());
  }

  /** Returns the failure domains in which backend servers of the version are declared. */
  public Set<FailureDomainId> declaredDomains(ServiceId service, VersionId version) {
    return declared.getOrDefault(new Target(service, version), Set.of());
  }

  /** Returns the failure domains in which any version of the service has an owner. */
  public Set<FailureDomainId> servingDomains(ServiceId service) {
    Set<FailureDomainId> domains = new TreeSet<>();
    owners.forEach(
        (target, byDomain) -> {
          if (target.service().equals(service)) {
            domains.addAll(byDomain.keySet());
          }
        });
    return domains;
  }

  /** Returns the VMs of a failure domain. */
  public List<Member> membersIn(FailureDomainId domain) {
    return members.getOrDefault(domain, List.of());
  }

  /** Returns all declared failure domains with their regions. */
  public Map<FailureDomainId, RegionId> regions() {
    return regions;
  }

  /** Returns 0 for the same failure domain, 1 for the same region, otherwise 2. */
  public int distance(FailureDomainId one, FailureDomainId other) {
    if (one.equals(other)) {
      return 0;
    }
    RegionId region = regions.get(one);
    return region != null && region.equals(regions.get(other)) ? 1 : 2;
  }
}
