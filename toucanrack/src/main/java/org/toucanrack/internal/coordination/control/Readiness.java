package org.toucanrack.internal.coordination.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a starting VM may take traffic: its configuration has to be at least as new as
 * the table's or, while the table service does not answer, as the newest one of its peers. Confined
 * to the control thread.
 *
 * <p>Invariant: a VM that has become ready stays ready.
 */
final class Readiness {

  private static final long NO_ANSWER = -1;

  private final Map<String, Long> peerVersions = new HashMap<>();
  private long storeVersion = NO_ANSWER;
  private boolean ready;

  void observeStoreVersion(long version) {
    storeVersion = Math.max(storeVersion, version);
  }

  void observePeerVersion(String address, long version) {
    peerVersions.put(address, version);
  }

  void observePeerFailure(String address) {
    peerVersions.putIfAbsent(address, NO_ANSWER);
  }

  /**
   * Re-evaluates readiness. The peers' versions count only when each address in {@code peers} has
   * answered or failed.
   */
  boolean evaluate(long adoptedVersion, boolean storeFailed, Collection<String> peers) {
    if (ready || adoptedVersion < 1) {
      return ready;
    }
    ready =
        storeVersion != NO_ANSWER
            ? adoptedVersion >= storeVersion
            : storeFailed && isNewestAmongPeers(adoptedVersion, peers);
    return ready;
  }

  private boolean isNewestAmongPeers(long adoptedVersion, Collection<String> peers) {
    long newest = peerVersions.values().stream().mapToLong(Long::longValue).max().orElse(NO_ANSWER);
    return peerVersions.keySet().containsAll(peers)
        && newest != NO_ANSWER
        && adoptedVersion >= newest;
  }

  boolean isReady() {
    return ready;
  }
}
