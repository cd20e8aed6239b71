package org.toucanrack.internal.coordination.retry;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Requests that run here, and cancellations that arrived before their request.
 *
 * <p>Invariant: a request whose cancellation arrived first never starts, as long as the
 * cancellation is remembered. Thread-safe.
 *
 * @param <T> what is needed to cancel a running request
 */
public final class RunningRequests<T> {

  private static final int MAX_REMEMBERED = 10_000;

  private final long rememberNanos;
  private final Map<String, T> running = new HashMap<>();
  private final LinkedHashMap<String, Long> cancelled = new LinkedHashMap<>();

  /** Remembers cancellations for {@code rememberNanos}, the longest deadline of a request. */
  public RunningRequests(long rememberNanos) {
    this.rememberNanos = rememberNanos;
  }

  /** Registers a request; returns false if it was cancelled before it arrived. */
  public synchronized boolean start(String requestId, T request, long nowNanos) {
    forgetOld(nowNanos);
    if (cancelled.remove(requestId) != null) {
      return false;
    }
    running.put(requestId, request);
    return true;
  }

  /** Forgets a request that has ended. */
  public synchronized void finish(String requestId) {
    running.remove(requestId);
  }

  /** Returns the request to cancel, or remembers the cancellation if it has not arrived. */
  public synchronized Optional<T> cancel(String requestId, long nowNanos) {
    forgetOld(nowNanos);
    T request = running.get(requestId);
    if (request == null && cancelled.size() < MAX_REMEMBERED) {
      cancelled.put(requestId, nowNanos);
    }
    return Optional.ofNullable(request);
  }

  /** Returns the number of running requests. */
  public synchronized int size() {
    return running.size();
  }

  private void forgetOld(long nowNanos) {
    Iterator<Long> times = cancelled.values().iterator();
    while (times.hasNext() && nowNanos - times.next() > rememberNanos) {
      times.remove();
    }
  }
}
