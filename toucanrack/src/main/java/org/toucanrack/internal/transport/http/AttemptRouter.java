package org.toucanrack.internal.transport.http;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.toucanrack.ErrorCode;
import org.toucanrack.Verdict;
import org.toucanrack.configuration.ServiceVersion;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.coordination.routing.Destination;
import org.toucanrack.internal.coordination.routing.DestinationChooser;
import org.toucanrack.internal.coordination.routing.LinkBudgets;
import org.toucanrack.internal.coordination.routing.OwnerLoads;
import org.toucanrack.internal.coordination.routing.RoutingIndex;
import org.toucanrack.internal.coordination.routing.RoutingRequest;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.state.Member;
import org.toucanrack.internal.state.TrafficSplit;

/**
 * Chooses destinations of attempts from the latest control state and updates load and link
 * estimates from their answers. Thread-safe.
 */
final class AttemptRouter {

  private final TrafficCollaborators collaborators;
  private final OwnerLoads ownerLoads = new OwnerLoads();
  private final LinkBudgets linkBudgets = new LinkBudgets();
  private final DestinationChooser chooser;
  private volatile CachedIndex cachedIndex;

  private record CachedIndex(ControlSnapshot snapshot, RoutingIndex index) {}

  /** A version and the destination to run it at. */
  record Choice(VersionId version, Destination destination) {}

  AttemptRouter(TrafficCollaborators collaborators) {
    this.collaborators = collaborators;
    this.chooser =
        new DestinationChooser(
            ownerLoads,
            linkBudgets,
            collaborators.shiftGate(),
            () -> ThreadLocalRandom.current().nextDouble());
  }

  /**
   * Chooses a destination for the version; a candidate without a destination falls back to the
   * stable version.
   */
  Choice choose(AdmittedRequest request, VersionId version, Set<Incarnation> excluded) {
    ControlSnapshot snapshot = collaborators.snapshot().get();
    Destination destination = destination(snapshot, request, version, excluded);
    if (destination instanceof Destination.None && isCandidate(snapshot, request, version)) {
      Optional<VersionId> stable = stableVersion(snapshot, request.service().id());
      if (stable.isPresent()) {
        return new Choice(stable.get(), destination(snapshot, request, stable.get(), excluded));
      }
    }
    return new Choice(version, destination);
  }

  /** Chooses a destination for a hedge of an attempt, always on the version of that attempt. */
  Destination chooseForHedge(AdmittedRequest request, Attempt slow) {
    return destination(
        collaborators.snapshot().get(),
        request,
        slow.version(),
        Set.of(slow.owner().incarnation()));
  }

  void attemptStarted(Member owner, ServiceId service) {
    ownerLoads.requestStarted(owner.incarnation(), service);
  }

  void attemptEnded(Member owner, ServiceId service, ForwardAnswer answer) {
    long now = collaborators.clock().getAsLong();
    ownerLoads.requestEnded(owner.incarnation(), service, refusalOf(answer), now);
    linkBudgets
        .budgetTo(owner.failureDomain())
        .ifPresent(link -> link.responseReceived(answer.getSerializedSize(), now));
  }

  RoutingIndex index() {
    return indexOf(collaborators.snapshot().get());
  }

  /**
   * Returns the code with which an owner refused an attempt, or null. An answer of a backend server
   * is not a refusal.
   */
  static ErrorCode refusalOf(ForwardAnswer answer) {
    if (ForwardAnswers.verdictOf(answer) == Verdict.RAN || !answer.getBackendServer().isEmpty()) {
      return null;
    }
    ErrorCode code = ForwardAnswers.codeOf(answer);
    return switch (code) {
      case OWNER_UNREACHABLE, LEASE_LOST, NO_CAPACITY, OVERLOADED -> code;
      default -> null;
    };
  }

  private Destination destination(
      ControlSnapshot snapshot,
      AdmittedRequest request,
      VersionId version,
      Set<Incarnation> excluded) {
    RoutingRequest attempt =
        new RoutingRequest(
            request.service().id(),
            version,
            request.body().size() + request.target().length(),
            excluded,
            collaborators.clock().getAsLong());
    FailureDomainId ownFailureDomain = snapshot.self().failureDomain();
    return chooser.choose(
        attempt, indexOf(snapshot), appliedSplits(attempt, snapshot), ownFailureDomain);
  }

  /** Returns the splits that this VM applies now, which may lag behind the declared ones. */
  private List<TrafficSplit> appliedSplits(RoutingRequest attempt, ControlSnapshot snapshot) {
    return snapshot.splits().stream()
        .filter(split -> split.service().equals(attempt.service()))
        .map(split -> appliedSplit(attempt, split.from()))
        .toList();
  }

  private TrafficSplit appliedSplit(RoutingRequest attempt, FailureDomainId from) {
    return new TrafficSplit(
        attempt.service(),
        from,
        collaborators.shiftGate().split(attempt.service(), attempt.nowNanos()));
  }

  private static boolean isCandidate(
      ControlSnapshot snapshot, AdmittedRequest request, VersionId version) {
    return snapshot.configuration().orElseThrow().deployment().versions().stream()
        .anyMatch(
            declared ->
                declared.service().equals(request.service().id())
                    && declared.id().equals(version)
                    && declared.isCandidate());
  }

  private static Optional<VersionId> stableVersion(ControlSnapshot snapshot, ServiceId service) {
    return snapshot.configuration().orElseThrow().deployment().versions().stream()
        .filter(declared -> declared.service().equals(service) && !declared.isCandidate())
        .map(ServiceVersion::id)
        .findFirst();
  }

  private RoutingIndex indexOf(ControlSnapshot snapshot) {
    CachedIndex current = cachedIndex;
    if (current == null || current.snapshot() != snapshot) {
      current = reindex(snapshot, current);
    }
    return current.index();
  }

  /**
   * Control state is published every few ticks; the index is rebuilt only if routing inputs
   * changed.
   */
  private synchronized CachedIndex reindex(ControlSnapshot snapshot, CachedIndex old) {
    RoutingIndex index =
        old != null && hasSameRoutingState(old.snapshot(), snapshot)
            ? old.index()
            : new RoutingIndex(snapshot);
    if (old == null || index != old.index()) {
      linkBudgets.update(snapshot, index, collaborators.clock().getAsLong());
      ownerLoads.retainMembers(snapshot.members().keySet());
    }
    cachedIndex = new CachedIndex(snapshot, index);
    return cachedIndex;
  }

  private static boolean hasSameRoutingState(ControlSnapshot one, ControlSnapshot other) {
    return one.configuration().equals(other.configuration())
        && one.ownership().equals(other.ownership())
        && one.members().equals(other.members());
  }
}
