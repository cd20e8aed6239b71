package org.toucanrack.internal.coordination.duty;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.toucanrack.id.VmId;

/**
 * Orders the VMs that may take the duty over: first those that serve callers and reach the store,
 * then those that serve, then the others, each by name. All VMs that hear the same heartbeats get
 * the same order. Stateless and thread-safe.
 */
public final class DutyCandidates {

  private DutyCandidates() {}

  /**
   * A VM as its latest heartbeat describes it.
   *
   * @param vm the name of the VM
   * @param serving whether callers are sent to it
   * @param storeReached whether the store answered its last call
   */
  public record Candidate(VmId vm, boolean serving, boolean storeReached) {

    private int preference() {
      return serving && storeReached ? 0 : serving ? 1 : 2;
    }
  }

  /** Returns the VMs in the order in which they take the duty over. */
  public static List<VmId> order(Collection<Candidate> candidates) {
    return candidates.stream()
        .sorted(Comparator.comparingInt(Candidate::preference).thenComparing(Candidate::vm))
        .map(Candidate::vm)
        .toList();
  }
}
