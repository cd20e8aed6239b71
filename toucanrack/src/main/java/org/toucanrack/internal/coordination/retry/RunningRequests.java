package org.toucanrack.internal.coordination.retry;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The requests that run on this VM, and cancellations that arrived before their request.
 *
 * <p>Invariant: a request whose cancellation arrived first never starts, as long as the
 * cancellation is remembered. Thread-safe.
 *
 * @param <T> the handle that cancels a running request
 */
public final class RunningRequests<T> {

  private static final int MAX_REMEMBERED_CANCELLATIONS = 10_000;

  private final long cancellationRetentionNanos;
  private final Map<String, T> running = new HashMap<>();
  private final LinkedHashMap<String, Long> cancellations = new LinkedHashMap<>();

  /**
   * Creates an empty registry that remembers cancellations for {@code cancellationRetentionNanos},
   * the longest deadline of a request.
   */
  public RunningRequests(long cancellationRetentionNanos) {
    this.cancellationRetentionNanos = cancellationRetentionNanos;
  }

  /** Registers a request; returns false if it was cancelled before it arrived. */
  public synchronized boolean start(String requestId, T request, long nowNanos) {
    removeExpiredCancellations(nowNanos);
    if (cancellations.remove(requestId) != null) {
      return false;
    }
    running.put(requestId, request);
    return true;
  }

  /** Removes a request that has ended. */
  public synchronized void finish(String requestId) {
    running.remove(requestId);
  }

  /**
   * Returns the request to cancel, or remembers the cancellation if the request has not arrived.
   */
  public synchronized Optional<T> cancel(String requestId, long nowNanos) {
    removeExpiredCancellations(nowNanos);
    T request = running.get(requestId);
    if (request == null && cancellations.size() < MAX_REMEMBERED_CANCELLATIONS) {
      cancellations.put(requestId, nowNanos);
    }
    return Optional.ofNullable(request);
  }

  /** Returns the number of running requests. */
  public synchronized int size() {
    return running.size();
  }

  private void removeExpiredCancellations(long nowNanos) {
    Iterator<Long> cancelledAtNanos = cancellations.values().iterator();
    while (cancelledAtNanos.hasNext()
        && nowNanos - cancelledAtNanos.next() > cancellationRetentionNanos) {
      cancelledAtNanos.remove();
    }
  }
}
