package org.toucanrack.internal.coordination.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;

/**
 * The slots of one backend server.
 *
 * <p>Invariant: grants in flight never exceed the declared slots, also after the server was
 * released and reacquired while requests were in flight. Guarded by the dispatcher's lock.
 */
final class ServerSlots {

  private final Set<SlotGrant> inFlight = Collections.newSetFromMap(new IdentityHashMap<>());
  private final List<Runnable> idleListeners = new ArrayList<>();
  private final ServerHealth health = new ServerHealth();
  private OwnedServer server;
  private boolean owned;

  void update(OwnedServer update) {
    boolean newStart = server == null || !server.coldStartNanos().equals(update.coldStartNanos());
    if (newStart) {
      update.coldStartNanos().ifPresent(health::startRamp);
    }
    server = update;
    owned = true;
  }

  void markUnowned() {
    owned = false;
  }

  /** Returns whether new requests can be granted here without another update. */
  boolean isServing() {
    return owned && !server.draining() && server.concurrency() > 0;
  }

  boolean serves(SlotRequest request) {
    if (!isServing()) {
      return false;
    }
    if (request.server().isPresent()) {
      return request.server().get().equals(server.server().id());
    }
    return request
        .version()
        .map(version -> version.equals(server.server().version()))
        .orElse(!server.role().isCandidate());
  }

  int freeSlots(long nowNanos) {
    if (!isServing() || nowNanos - server.usableFromNanos() < 0 || health.isEjected(nowNanos)) {
      return 0;
    }
    return Math.max(0, health.allowedConcurrency(server.concurrency(), nowNanos) - inFlight.size());
  }

  SlotGrant grant(SlotRequest request, long nowNanos) {
    SlotGrant grant = new SlotGrant(request.requestId(), server.server(), nowNanos);
    inFlight.add(grant);
    return grant;
  }

  /** Releases a slot; returns false for a grant that is not in flight. */
  boolean release(SlotGrant grant) {
    return inFlight.remove(grant);
  }

  boolean isIdle() {
    return inFlight.isEmpty();
  }

  double utilization() {
    return inFlight.size() / (double) Math.max(1, server.concurrency());
  }

  void addIdleListener(Runnable listener) {
    idleListeners.add(listener);
  }

  List<Runnable> removeIdleListeners() {
    List<Runnable> listeners = List.copyOf(idleListeners);
    idleListeners.clear();
    return listeners;
  }

  ServerHealth health() {
    return health;
  }

  OwnedServer server() {
    return server;
  }

  boolean isOwned() {
    return owned;
  }
}
