package org.toucanrack.internal.serve.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Requests that arrive shortly after the start of this VM, before it knows the configuration and
 * the servers. After a restart of all VMs the callers have nowhere else to go, and they would come
 * back to VMs that are not ready either.
 *
 * <p>Invariant: each request is released or expired once, or removed. Confined to the traffic
 * thread.
 */
final class StartupQueue {

  /** Most bytes of request bodies that are held. */
  static final long MAX_BODY_BYTES = 8L * 1024 * 1024;

  /** Most requests that are held. */
  static final int MAX_REQUESTS = 500;

  private final Deque<WaitingRequest> waiting = new ArrayDeque<>();
  private long bodyBytes;
  private boolean closed;

  /** A request that waits for the configuration. */
  interface WaitingRequest {

    /** Returns the size of the request's body in bytes. */
    long bodyBytes();

    /** Called when the request can be handled. */
    void released();

    /** Called when the configuration has not arrived in time. */
    void expired();
  }

  /** Enqueues a request; returns false if it cannot wait. */
  boolean enqueue(WaitingRequest request) {
    boolean accepted =
        !closed
            && waiting.size() < MAX_REQUESTS
            && bodyBytes + request.bodyBytes() <= MAX_BODY_BYTES;
    if (accepted) {
      waiting.addLast(request);
      bodyBytes += request.bodyBytes();
    }
    return accepted;
  }

  /** Removes a request whose caller has closed its connection. */
  void remove(WaitingRequest request) {
    if (waiting.remove(request)) {
      bodyBytes -= request.bodyBytes();
    }
  }

  /** Releases all requests in order of arrival; later requests no longer wait. */
  void release() {
    close().forEach(WaitingRequest::released);
  }

  /** Ends the wait of all requests without a configuration; later requests no longer wait. */
  void expire() {
    close().forEach(WaitingRequest::expired);
  }

  private List<WaitingRequest> close() {
    closed = true;
    List<WaitingRequest> ended = new ArrayList<>(waiting);
    waiting.clear();
    bodyBytes = 0;
    return ended;
  }
}
