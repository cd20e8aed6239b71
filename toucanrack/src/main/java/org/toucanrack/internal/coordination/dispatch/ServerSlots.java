package org.toucanrack.internal.coordination.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;

/**
 * The slots of one backend server.
 *
 * <p>Invariant: grants in flight never exceed the declared slots, also after the server was given
 * up and acquired again while requests ran. Guarded by the dispatcher's lock.
 */
final class ServerSlots {

  private final Set<SlotGrant> inFlight = Collections.newSetFromMap(new IdentityHashMap<>());
  private final List<Runnable> idleListeners = new ArrayList<>();
  private final ServerHealth health = new ServerHealth();
  private OwnedServer owned;
  private boolean current;

  void update(OwnedServer update) {
    boolean startSeen = owned == null || !owned.coldStartNanos().equals(update.coldStartNanos());
    if (startSeen) {
      update.coldStartNanos().ifPresent(health::startRamp);
    }
    owned = update;
    current = true;
  }

  void giveUp() {
    current = false;
  }

  /** Returns whether new requests may ever be granted here without another update. */
  boolean isServing() {
    return current && !owned.draining() && owned.concurrency() > 0;
  }

  boolean serves(SlotRequest request) {
    if (!isServing()) {
      return false;
    }
    if (request.server().isPresent()) {
      return request.server().get().equals(owned.server().id());
    }
    return request
        .version()
        .map(version -> version.equals(owned.server().version()))
        .orElse(!owned.role().isCandidate());
  }

  int free(long nowNanos) {
    if (!isServing() || nowNanos - owned.usableFromNanos() < 0 || health.isEjected(nowNanos)) {
      return 0;
    }
    return Math.max(0, health.allowed(owned.concurrency(), nowNanos) - inFlight.size());
  }

  SlotGrant grant(SlotRequest request, long nowNanos) {
    SlotGrant grant = new SlotGrant(request.requestId(), owned.server(), nowNanos);
    inFlight.add(grant);
    return grant;
  }

  /** Returns false for a grant that is not in flight. */
  boolean release(SlotGrant grant) {
    return inFlight.remove(grant);
  }

  boolean isIdle() {
    return inFlight.isEmpty();
  }

  double utilization() {
    return inFlight.size() / (double) Math.max(1, owned.concurrency());
  }

  void onIdle(Runnable listener) {
    idleListeners.add(listener);
  }

  List<Runnable> takeIdleListeners() {
    List<Runnable> taken = List.copyOf(idleListeners);
    idleListeners.clear();
    return taken;
  }

  ServerHealth health() {
    return health;
  }

  OwnedServer owned() {
    return owned;
  }

  boolean isCurrent() {
    return current;
  }
}
