package org.toucanrack.internal.transport.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.toucanrack.internal.protocol.message.HttpMessage;

/**
 * The requests of one connection that were started and not answered yet, in the order in which they
 * were read. Decides which requests may be started and which responses may be written; does no I/O.
 *
 * <p>Invariants: responses are returned in the order of their requests; only safe requests without
 * a body run beside others; no request is added after one whose response closes the connection; the
 * last response of a closed queue closes the connection, and no other one does. Confined to one
 * event loop.
 */
final class ResponseQueue {

  /** Most requests of one connection that have no response or whose response is not written. */
  static final int MAX_REQUESTS = 16;

  /**
   * No further request is started beside others while complete responses of this many bytes wait on
   * the connection; responses of requests that run already may exceed it.
   */
  static final long MAX_HELD_BYTES = 256 * 1024;

  private final Deque<PendingResponse> pending = new ArrayDeque<>();
  private int writing;
  private long requestBytes;
  private boolean closed;

  /** Returns whether all responses were written. */
  boolean isEmpty() {
    return pending.isEmpty();
  }

  /** Returns whether no request may be added any more. */
  boolean isClosed() {
    return closed;
  }

  /** Accepts no further requests; the last response closes the connection. */
  void close() {
    closed = true;
  }

  /**
   * Returns whether a request may be started now. A request that is not safe, or that has a body,
   * waits until it is first, and the requests behind it wait for its response: RFC 9112 allows
   * concurrent handling of safe methods only.
   */
  boolean mayStart(HttpMessage request) {
    if (closed) {
      return false;
    }
    return pending.isEmpty()
        || pending.size() < MAX_REQUESTS
            && heldBytes() < MAX_HELD_BYTES
            && isSafe(request)
            && isSafe(pending.getLast().request());
  }

  /** Adds a request that is started. */
  PendingResponse add(HttpMessage request) {
    if (closed) {
      throw new IllegalStateException("the connection accepts no further requests");
    }
    PendingResponse added = new PendingResponse(request);
    pending.addLast(added);
    requestBytes += added.requestBytes();
    closed = request.closesConnection();
    return added;
  }

  /**
   * Sets the response of a request. A response that closes the connection closes the queue.
   *
   * @return false if the request has a response already or is not in the queue any more
   */
  boolean complete(PendingResponse target, HttpMessage response, long nowMillis) {
    if (target.isComplete() || !pending.contains(target)) {
      return false;
    }
    target.complete(response, !isNext(target), nowMillis);
    closed |= response.closesConnection();
    return true;
  }

  private boolean isNext(PendingResponse target) {
    Iterator<PendingResponse> remaining = pending.iterator();
    for (int i = 0; i < writing; i++) {
      remaining.next();
    }
    return remaining.hasNext() && remaining.next() == target;
  }

  /** Removes and returns the requests behind one whose response closes the connection. */
  List<PendingResponse> removeBehind(PendingResponse last) {
    List<PendingResponse> removed = new ArrayList<>();
    while (pending.contains(last) && pending.getLast() != last) {
      PendingResponse removedLast = pending.removeLast();
      requestBytes -= removedLast.requestBytes();
      removed.add(0, removedLast);
    }
    return removed;
  }

  /**
   * Returns the responses to write next, in order: at least one if the first request has a
   * response, and more until they have {@code maxBytes}. They stay in the queue until {@link
   * #finishWriting}.
   *
   * @param stopping whether the connection is to be closed after the requests that were started
   */
  List<PendingResponse> startWriting(long maxBytes, boolean stopping) {
    List<PendingResponse> ready = new ArrayList<>();
    long bytes = 0;
    for (PendingResponse response : pending) {
      if (!response.isComplete() || bytes >= maxBytes) {
        break;
      }
      ready.add(response);
      bytes += response.responseBytes();
    }
    writing = ready.size();
    closed |= stopping && !ready.isEmpty();
    return ready;
  }

  /** Returns whether the connection closes after this response. */
  boolean closesAfter(PendingResponse response) {
    return closed && pending.peekLast() == response;
  }

  /** Removes the responses that were written. */
  void finishWriting() {
    for (; writing > 0; writing--) {
      requestBytes -= pending.removeFirst().requestBytes();
    }
  }

  /** Returns the memory in bytes of the requests in the queue. */
  long requestBytes() {
    return requestBytes;
  }

  /** Returns the bytes of complete responses that are not being written. */
  long heldBytes() {
    long bytes = 0;
    int position = 0;
    for (PendingResponse response : pending) {
      if (position++ >= writing && response.isComplete()) {
        bytes += response.responseBytes();
      }
    }
    return bytes;
  }

  /** Closes the queue, and removes and returns all requests. */
  List<PendingResponse> removeAll() {
    final List<PendingResponse> removed = new ArrayList<>(pending);
    pending.clear();
    requestBytes = 0;
    writing = 0;
    closed = true;
    return removed;
  }

  private static boolean isSafe(HttpMessage request) {
    return request.body().length == 0
        && (request.method().equals("GET") || request.method().equals("HEAD"));
  }
}
