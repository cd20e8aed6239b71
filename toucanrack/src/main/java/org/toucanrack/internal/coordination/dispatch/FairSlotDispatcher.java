package org.toucanrack.internal.coordination.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import org.toucanrack.ErrorCode;
import org.toucanrack.id.BackendServerId;

/**
 * Dispatches the requests of one service by weighted fair queueing over its customers.
 *
 * <p>Invariant: grants in flight at a server never exceed its slots. Thread-safe; listeners are
 * called without the lock.
 */
public final class FairSlotDispatcher implements SlotDispatcher {

  private final ReentrantLock lock = new ReentrantLock();
  private final FairQueue queue = new FairQueue();
  private final ServerPool pool = new ServerPool();
  private final ServiceTimeEstimate serviceTime = new ServiceTimeEstimate();
  private final int maxQueueLength;
  private final LongPredicate permitsDispatch;

  /**
   * Creates a dispatcher without servers.
   *
   * @param maxQueueLength requests that may wait
   * @param permitsDispatch whether the lease of this VM permits a grant at a monotonic time
   */
  public FairSlotDispatcher(int maxQueueLength, LongPredicate permitsDispatch) {
    this.maxQueueLength = maxQueueLength;
    this.permitsDispatch = permitsDispatch;
  }

  /** Replaces the owned servers. Requests in flight at servers no longer owned stay counted. */
  public void update(List<OwnedServer> servers, long nowNanos) {
    withLock(
        calls -> {
          pool.update(servers);
          refuseUnservable(calls);
          dispatch(calls, nowNanos);
        });
  }

  /** Calls the listener once, when no request is in flight at the server; now if there is none. */
  public void whenIdle(BackendServerId server, Runnable listener) {
    withLock(
        calls -> {
          Optional<ServerSlots> slots = pool.find(server).filter(found -> !found.isIdle());
          slots.ifPresentOrElse(
              found -> found.addIdleListener(listener),
              () -> calls.addListeners(List.of(listener)));
        });
  }

  @Override
  public void submit(SlotRequest request, SlotListener listener, long nowNanos) {
    QueuedRequest queued = new QueuedRequest(request, listener);
    withLock(calls -> enqueue(queued, calls, nowNanos));
  }

  @Override
  public boolean cancel(String requestId, long nowNanos) {
    boolean[] cancelled = new boolean[1];
    withLock(
        calls -> {
          Optional<QueuedRequest> removed = queue.remove(requestId);
          removed.ifPresent(
              queued -> calls.addRefused(queued, ErrorCode.DEADLINE_EXCEEDED, "cancelled"));
          cancelled[0] = removed.isPresent();
        });
    return cancelled[0];
  }

  @Override
  public void release(SlotGrant grant, SlotOutcome outcome, long nowNanos) {
    withLock(
        calls -> {
          Optional<ServerSlots> slots = pool.find(grant.server().id());
          if (slots.isPresent() && slots.get().release(grant)) {
            if (outcome == SlotOutcome.SUCCEEDED) {
              serviceTime.observe(nowNanos - grant.grantedAtNanos());
            }
            afterRelease(slots.get(), outcome, calls, nowNanos);
          }
        });
  }

  @Override
  public void expire(long nowNanos) {
    withLock(
        calls -> {
          refuseExpired(calls, nowNanos);
          dispatch(calls, nowNanos);
        });
  }

  @Override
  public int freeSlots(long nowNanos) {
    lock.lock();
    try {
      return permitsDispatch.test(nowNanos) ? pool.freeSlots(nowNanos) : 0;
    } finally {
      lock.unlock();
    }
  }

  private void enqueue(QueuedRequest queued, PendingCalls calls, long nowNanos) {
    if (!permitsDispatch.test(nowNanos)) {
      calls.addRefused(queued, ErrorCode.LEASE_LOST, "the lease of this VM is not valid");
    } else if (!pool.canServe(queued.request())) {
      calls.addRefused(queued, ErrorCode.NO_CAPACITY, "no owned backend server can run this");
    } else if (!queue.add(queued)) {
      calls.addRefused(queued, ErrorCode.INVALID_REQUEST, "the request id is already queued");
    } else {
      dispatch(calls, nowNanos);
      refuseIfStillQueued(queued.request(), calls);
      dropOverflow(calls);
    }
  }

  private void refuseIfStillQueued(SlotRequest request, PendingCalls calls) {
    if (request.onlyIfFree()) {
      queue
          .remove(request.requestId())
          .ifPresent(
              queued -> calls.addRefused(queued, ErrorCode.NO_CAPACITY, "no slot is free now"));
    }
  }

  private void dropOverflow(PendingCalls calls) {
    while (queue.size() > maxQueueLength) {
      queue
          .dropFromLargestBacklog()
          .ifPresent(victim -> calls.addRefused(victim, ErrorCode.OVERLOADED, "the queue is full"));
    }
  }

  private void afterRelease(
      ServerSlots slots, SlotOutcome outcome, PendingCalls calls, long nowNanos) {
    slots.health().observe(outcome, nowNanos);
    pool.ejectIfOutlier(slots, nowNanos);
    if (slots.isIdle()) {
      calls.addListeners(slots.removeIdleListeners());
    }
    dispatch(calls, nowNanos);
  }

  private void dispatch(PendingCalls calls, long nowNanos) {
    if (!permitsDispatch.test(nowNanos)) {
      return;
    }
    refuseExpired(calls, nowNanos);
    while (queue.size() > 0 && pool.freeSlots(nowNanos) > 0) {
      Optional<QueuedRequest> next =
          queue.pollFirst(queued -> pool.choose(queued.request(), nowNanos).isPresent());
      if (next.isEmpty()) {
        return;
      }
      grant(next.get(), calls, nowNanos);
    }
  }

  private void grant(QueuedRequest queued, PendingCalls calls, long nowNanos) {
    ServerSlots slots = pool.choose(queued.request(), nowNanos).orElseThrow();
    calls.addGranted(queued, slots.grant(queued.request(), nowNanos));
  }

  /**
   * Returns the time that a waiting request must have left before its deadline. Without this, an
   * overloaded server ran requests until their deadlines and most of them were abandoned.
   */
  private long requiredRemainingNanos(long nowNanos) {
    return queue.size() > pool.freeSlots(nowNanos) ? serviceTime.upperEstimateNanos() : 0;
  }

  private void refuseExpired(PendingCalls calls, long nowNanos) {
    queue
        .removeExpired(nowNanos + requiredRemainingNanos(nowNanos))
        .forEach(
            queued ->
                calls.addRefused(
                    queued,
                    ErrorCode.DEADLINE_EXCEEDED,
                    "no slot was free in time to answer before the deadline"));
  }

  private void refuseUnservable(PendingCalls calls) {
    queue
        .removeAll(queued -> !pool.canServe(queued.request()))
        .forEach(
            queued ->
                calls.addRefused(
                    queued, ErrorCode.NO_CAPACITY, "its backend servers are no longer owned"));
  }

  private void withLock(Consumer<PendingCalls> action) {
    PendingCalls calls = new PendingCalls();
    lock.lock();
    try {
      action.accept(calls);
    } finally {
      lock.unlock();
    }
    calls.run();
  }
}
