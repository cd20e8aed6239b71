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

/** Routes attempts with the newest control state, and learns from their answers. Thread-safe. */
final class Routing {

  private final TrafficCollaborators collaborators;
  private final OwnerLoads loads = new OwnerLoads();
  private final LinkBudgets links = new LinkBudgets();
  private final DestinationChooser chooser;
  private volatile Indexed indexed;

  private record Indexed(ControlSnapshot snapshot, RoutingIndex index) {}

  /** A version and where to run it. */
  record Choice(VersionId version, Destination destination) {}

  Routing(TrafficCollaborators collaborators) {
    this.collaborators = collaborators;
    this.chooser =
        new DestinationChooser(
            loads,
            links,
            collaborators.shiftGate(),
            () -> ThreadLocalRandom.current().nextDouble());
  }

  /** Chooses where to run the version, or another version if that one has no owner. */
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

  /** Chooses where to run a second copy of an attempt, always on the version of that attempt. */
  Destination chooseForHedge(AdmittedRequest request, Attempt slow) {
    return destination(
        collaborators.snapshot().get(),
        request,
        slow.version(),
        Set.of(slow.owner().incarnation()));
  }

  void begin(Member owner, ServiceId service) {
    loads.requestStarted(owner.incarnation(), service);
  }

  void end(Member owner, ServiceId service, ForwardAnswer answer) {
    long now = collaborators.clock().getAsLong();
    loads.requestEnded(owner.incarnation(), service, refusalOf(answer), now);
    links
        .budgetTo(owner.failureDomain())
        .ifPresent(link -> link.responseReceived(answer.getSerializedSize(), now));
  }

  RoutingIndex index() {
    return indexOf(collaborators.snapshot().get());
  }

  /** Returns why an owner did not take an attempt; an answer of a backend server is no refusal. */
  static ErrorCode refusalOf(ForwardAnswer answer) {
    if (Answers.verdictOf(answer) == Verdict.RAN || !answer.getBackendServer().isEmpty()) {
      return null;
    }
    ErrorCode code = Answers.codeOf(answer);
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
    FailureDomainId own = snapshot.self().failureDomain();
    return chooser.choose(attempt, indexOf(snapshot), splits(attempt, snapshot), own);
  }

  /** The splits that this VM applies now, which may lag behind the declared ones. */
  private List<TrafficSplit> splits(RoutingRequest attempt, ControlSnapshot snapshot) {
    return snapshot.splits().stream()
        .filter(split -> split.service().equals(attempt.service()))
        .map(split -> applied(attempt, split.from()))
        .toList();
  }

  private TrafficSplit applied(RoutingRequest attempt, FailureDomainId from) {
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
    Indexed current = indexed;
    if (current == null || current.snapshot() != snapshot) {
      current = reindex(snapshot, current);
    }
    return current.index();
  }

  /** Control state is published every few ticks; only changes that matter rebuild the index. */
  private synchronized Indexed reindex(ControlSnapshot snapshot, Indexed old) {
    RoutingIndex index =
        old != null && sameRoutes(old.snapshot(), snapshot)
            ? old.index()
            : new RoutingIndex(snapshot);
    if (old == null || index != old.index()) {
      links.update(snapshot, index, collaborators.clock().getAsLong());
      loads.retainMembers(snapshot.members().keySet());
    }
    indexed = new Indexed(snapshot, index);
    return indexed;
  }

  private static boolean sameRoutes(ControlSnapshot one, ControlSnapshot other) {
    return one.configuration().equals(other.configuration())
        && one.ownership().equals(other.ownership())
        && one.members().equals(other.members());
  }
}
