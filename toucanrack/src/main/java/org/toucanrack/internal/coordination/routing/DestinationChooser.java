package org.toucanrack.internal.coordination.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.toucanrack.ErrorCode;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.coordination.move.ShiftGate;
import org.toucanrack.internal.state.TrafficSplit;

/**
 * Chooses the failure domain and the owner for one attempt.
 *
 * <p>Traffic is served in its own failure domain, or in the one that the split of a move selects if
 * the shift gate permits it. If no owner there is usable, it overflows to other failure domains,
 * within the limits of the shift gate, the link budget and the free slots there. Thread-safe.
 */
public final class DestinationChooser {

  private final OwnerLoads loads;
  private final LinkBudgets links;
  private final ShiftGate gate;
  private final DoubleSupplier random;

  /** Creates a chooser; {@code random} returns values from 0 (inclusive) to 1 (exclusive). */
  public DestinationChooser(
      OwnerLoads loads, LinkBudgets links, ShiftGate gate, DoubleSupplier random) {
    this.loads = loads;
    this.links = links;
    this.gate = gate;
    this.random = random;
  }

  /** Chooses a destination for traffic that arrived in the failure domain {@code own}. */
  public Destination choose(
      RoutingRequest request, RoutingIndex index, List<TrafficSplit> splits, FailureDomainId own) {
    List<FailureDomainId> domains = byDistance(request, index, own);
    if (domains.isEmpty()) {
      return new Destination.None(ErrorCode.NO_CAPACITY, "No backend server is declared.");
    }
    FailureDomainId preferred = domains.get(0);
    FailureDomainId splitTarget = splitTarget(request, splits, preferred);
    Optional<OwnerSlots> targetOwner = usableOwner(request, index, splitTarget);
    if (targetOwner.isPresent()
        && tryLink(request, splitTarget)
        && tryShift(request, preferred, splitTarget)) {
      return new Destination.Owner(targetOwner.get().owner(), false);
    }
    return overflow(request, index, domains, splitTarget);
  }

  private boolean tryShift(
      RoutingRequest request, FailureDomainId preferred, FailureDomainId target) {
    return target.equals(preferred)
        || gate.tryShift(request.service(), preferred, target, request.nowNanos());
  }

  /**
   * Tries the other failure domains by distance and load; the preferred one comes first if the
   * target of a split cannot be used.
   */
  private Destination overflow(
      RoutingRequest request,
      RoutingIndex index,
      List<FailureDomainId> domains,
      FailureDomainId splitTarget) {
    FailureDomainId preferred = domains.get(0);
    boolean preferredHasOwners =
        !index.owners(request.service(), request.version(), preferred).isEmpty();
    boolean capReached = false;
    for (FailureDomainId domain : byDistanceAndLoad(request, index, domains, preferred)) {
      Optional<OwnerSlots> owner = usableOwner(request, index, domain);
      if (domain.equals(splitTarget) || owner.isEmpty() || !tryLink(request, domain)) {
        continue;
      }
      if (tryShift(request, preferred, domain)) {
        boolean onlyIfFree = preferredHasOwners && !domain.equals(preferred);
        return new Destination.Owner(owner.get().owner(), onlyIfFree);
      }
      capReached = true;
    }
    return fallback(request, index, preferred, capReached);
  }

  /**
   * Tries the owners of the preferred failure domain even if they refused recently, rather than
   * refusing the request.
   */
  private Destination fallback(
      RoutingRequest request, RoutingIndex index, FailureDomainId preferred, boolean capReached) {
    List<OwnerSlots> owners =
        index.owners(request.service(), request.version(), preferred).stream()
            .filter(owner -> !request.excluded().contains(owner.owner().incarnation()))
            .toList();
    if (!owners.isEmpty() && tryLink(request, preferred)) {
      return new Destination.Owner(lessLoadedOfTwo(request, owners).owner(), false);
    }
    return capReached
        ? new Destination.None(
            ErrorCode.SHIFT_CAP_REACHED, "The cap on shifts between failure domains is reached.")
        : new Destination.None(
            ErrorCode.NO_CAPACITY, "No owner with headroom and link capacity is left.");
  }

  private FailureDomainId splitTarget(
      RoutingRequest request, List<TrafficSplit> splits, FailureDomainId preferred) {
    double point = random.getAsDouble();
    for (TrafficSplit split : splits) {
      if (split.service().equals(request.service()) && split.from().equals(preferred)) {
        for (Map.Entry<FailureDomainId, Double> part : split.fractions().entrySet()) {
          point -= part.getValue();
          if (point < 0) {
            return part.getKey();
          }
        }
      }
    }
    return preferred;
  }

  private static List<FailureDomainId> byDistance(
      RoutingRequest request, RoutingIndex index, FailureDomainId own) {
    List<FailureDomainId> domains =
        new ArrayList<>(index.declaredDomains(request.service(), request.version()));
    domains.sort(Comparator.comparingInt(domain -> index.distance(own, domain)));
    return domains;
  }

  private List<FailureDomainId> byDistanceAndLoad(
      RoutingRequest request,
      RoutingIndex index,
      List<FailureDomainId> domains,
      FailureDomainId preferred) {
    return domains.stream()
        .sorted(
            Comparator.<FailureDomainId>comparingInt(domain -> index.distance(preferred, domain))
                .thenComparingDouble(domain -> loadOf(request, index, domain)))
        .toList();
  }

  private double loadOf(RoutingRequest request, RoutingIndex index, FailureDomainId domain) {
    return index.owners(request.service(), request.version(), domain).stream()
        .mapToDouble(owner -> relativeLoad(request, owner))
        .min()
        .orElse(Double.MAX_VALUE);
  }

  /** Returns an owner that is not excluded and did not refuse recently, if there is one. */
  private Optional<OwnerSlots> usableOwner(
      RoutingRequest request, RoutingIndex index, FailureDomainId domain) {
    List<OwnerSlots> owners =
        index.owners(request.service(), request.version(), domain).stream()
            .filter(owner -> !request.excluded().contains(owner.owner().incarnation()))
            .filter(owner -> !isAvoided(request, owner))
            .toList();
    return owners.isEmpty() ? Optional.empty() : Optional.of(lessLoadedOfTwo(request, owners));
  }

  private boolean isAvoided(RoutingRequest request, OwnerSlots owner) {
    return loads.isAvoided(owner.owner().incarnation(), request.service(), request.nowNanos());
  }

  /** Power of two choices, weighted by slots: the less loaded of two random owners. */
  private OwnerSlots lessLoadedOfTwo(RoutingRequest request, List<OwnerSlots> owners) {
    OwnerSlots one = pickBySlots(owners);
    OwnerSlots other = pickBySlots(owners);
    return relativeLoad(request, one) <= relativeLoad(request, other) ? one : other;
  }

  private OwnerSlots pickBySlots(List<OwnerSlots> owners) {
    int total = owners.stream().mapToInt(OwnerSlots::slots).sum();
    double point = random.getAsDouble() * total;
    for (OwnerSlots owner : owners) {
      point -= owner.slots();
      if (point < 0) {
        return owner;
      }
    }
    return owners.get(owners.size() - 1);
  }

  private double relativeLoad(RoutingRequest request, OwnerSlots owner) {
    int inFlight = loads.inFlight(owner.owner().incarnation(), request.service());
    return (inFlight + 1.0) / owner.slots();
  }

  private boolean tryLink(RoutingRequest request, FailureDomainId domain) {
    return links
        .budgetTo(domain)
        .map(link -> link.trySend(request.requestBytes(), request.nowNanos()))
        .orElse(true);
  }
}
