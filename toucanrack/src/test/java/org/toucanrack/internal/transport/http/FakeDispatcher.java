package org.toucanrack.internal.transport.http;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import org.toucanrack.ErrorCode;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.internal.coordination.dispatch.SlotDispatcher;
import org.toucanrack.internal.coordination.dispatch.SlotGrant;
import org.toucanrack.internal.coordination.dispatch.SlotListener;
import org.toucanrack.internal.coordination.dispatch.SlotOutcome;
import org.toucanrack.internal.coordination.dispatch.SlotRequest;

/** Grants every request immediately, or keeps it queued while {@code queueing} is set. */
final class FakeDispatcher implements SlotDispatcher {

  final List<SlotOutcome> released = new CopyOnWriteArrayList<>();
  final List<SlotRequest> submitted = new CopyOnWriteArrayList<>();
  final Map<String, SlotListener> queued = new ConcurrentHashMap<>();
  volatile boolean queueing;
  private final Supplier<List<BackendServer>> servers;

  FakeDispatcher(Supplier<List<BackendServer>> servers) {
    this.servers = servers;
  }

  @Override
  public void submit(SlotRequest request, SlotListener listener, long nowNanos) {
    submitted.add(request);
    if (queueing) {
      queued.put(request.requestId(), listener);
      return;
    }
    BackendServer server = servers.get().get((submitted.size() - 1) % servers.get().size());
    listener.granted(new SlotGrant(request.requestId(), server, nowNanos));
  }

  @Override
  public boolean cancel(String requestId, long nowNanos) {
    SlotListener listener = queued.remove(requestId);
    if (listener == null) {
      return false;
    }
    listener.refused(ErrorCode.OVERLOADED, "cancelled");
    return true;
  }

  @Override
  public void release(SlotGrant grant, SlotOutcome outcome, long nowNanos) {
    released.add(outcome);
  }

  @Override
  public void expire(long nowNanos) {}

  @Override
  public int freeSlots(long nowNanos) {
    return queueing ? 0 : 1;
  }
}
