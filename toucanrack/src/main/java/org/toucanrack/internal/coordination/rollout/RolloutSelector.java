package org.toucanrack.internal.coordination.rollout;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.RouteId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.state.VersionShare;

/** Selects versions by counted exposure to the candidates' shares. Thread-safe. */
public final class RolloutSelector implements VersionSelector {

  private record Candidate(VersionId version, CountedExposure exposure) {}

  private final Map<ServiceId, VersionId> current = new ConcurrentHashMap<>();
  private final Map<ServiceId, Candidate> candidates = new ConcurrentHashMap<>();

  /** Adopts the versions that carry traffic now and the shares of candidates. */
  public void update(Map<ServiceId, VersionId> currentVersions, List<VersionShare> shares) {
    current.keySet().retainAll(currentVersions.keySet());
    current.putAll(currentVersions);
    candidates.keySet().removeIf(id -> shares.stream().noneMatch(s -> s.service().equals(id)));
    shares.forEach(share -> candidates.compute(share.service(), (id, old) -> adopt(old, share)));
  }

  @Override
  public VersionId select(ServiceId service, RouteId route, CustomerId customer, long nowNanos) {
    Candidate candidate = candidates.get(service);
    if (candidate == null) {
      return current.get(service);
    }
    synchronized (candidate.exposure()) {
      return candidate.exposure().next() ? candidate.version() : current.get(service);
    }
  }

  @Override
  public void observe(Observation observation) {
    // Outcomes are judged in a later change.
  }

  private static Candidate adopt(Candidate old, VersionShare share) {
    Candidate candidate =
        old != null && old.version().equals(share.version())
            ? old
            : new Candidate(share.version(), new CountedExposure());
    synchronized (candidate.exposure()) {
      candidate.exposure().share(share.share());
    }
    return candidate;
  }
}
