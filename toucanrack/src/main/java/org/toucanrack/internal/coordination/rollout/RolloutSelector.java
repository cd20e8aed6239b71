package org.toucanrack.internal.coordination.rollout;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.toucanrack.configuration.ServiceVersion;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.RouteId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.state.VersionShare;

/**
 * Selects versions by counted exposure and stops a candidate at once when a fault is proved.
 *
 * <p>Invariant: a version that was stopped on this VM gets no request until its declaration number
 * increases, regardless of the published share. Thread-safe.
 */
public final class RolloutSelector implements VersionSelector {

  private final Map<ServiceId, VersionId> current = new ConcurrentHashMap<>();
  private final Map<ServiceId, CandidateRollout> candidates = new ConcurrentHashMap<>();
  private final Map<ServiceId, ServiceVersion> declared = new ConcurrentHashMap<>();
  private final FaultListener listener;

  /** Creates a selector that acts on proved faults only locally. */
  public RolloutSelector() {
    this((service, version, reason) -> {});
  }

  /** Creates a selector that reports the faults it proves. */
  public RolloutSelector(FaultListener listener) {
    this.listener = listener;
  }

  /** Updates the declarations; a version that was declared again is evaluated from the start. */
  public void updateDeclarations(List<ServiceVersion> versions) {
    versions.stream().filter(ServiceVersion::isCandidate).forEach(this::updateDeclaration);
  }

  /** Updates the current versions and the shares of candidates. */
  public void update(Map<ServiceId, VersionId> currentVersions, List<VersionShare> shares) {
    current.keySet().retainAll(currentVersions.keySet());
    current.putAll(currentVersions);
    for (VersionShare share : shares) {
      candidates
          .compute(share.service(), (id, old) -> keepOrCreate(old, share.version()))
          .setShare(share.share());
    }
    candidates.forEach(
        (service, candidate) -> {
          if (shares.stream().noneMatch(share -> share.service().equals(service))) {
            candidate.setShare(0);
          }
        });
  }

  /** Stops a version after a peer reported a fault of it. */
  public void stop(ServiceId service, VersionId version) {
    candidates.compute(service, (id, old) -> keepOrCreate(old, version)).stop();
  }

  @Override
  public VersionId select(ServiceId service, RouteId route, CustomerId customer, long nowNanos) {
    CandidateRollout candidate = candidates.get(service);
    boolean exposed = candidate != null && candidate.tryExpose();
    return exposed ? candidate.version() : current.get(service);
  }

  @Override
  public void observe(Observation observation) {
    CandidateRollout candidate = candidates.get(observation.service());
    if (candidate != null) {
      candidate
          .observe(observation)
          .ifPresent(fault -> listener.onFault(observation.service(), candidate.version(), fault));
    }
  }

  private void updateDeclaration(ServiceVersion version) {
    ServiceVersion before = declared.put(version.service(), version);
    boolean redeclared =
        before != null
            && before.id().equals(version.id())
            && version.declaration() > before.declaration();
    if (redeclared) {
      candidates.remove(version.service());
    }
  }

  private static CandidateRollout keepOrCreate(CandidateRollout old, VersionId version) {
    return old != null && old.version().equals(version) ? old : new CandidateRollout(version);
  }
}
