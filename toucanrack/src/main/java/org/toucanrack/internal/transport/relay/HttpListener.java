package org.toucanrack.internal.transport.relay;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;

/**
 * Accepts HTTP connections on one address and passes their requests to a handler. Confined to one
 * event loop.
 */
public final class HttpListener {

  /** Interval between checks for slow and idle connections. */
  private static final long SWEEP_INTERVAL_MS = 500;

  /**
   * A caller that accepts nothing for this time is closed if the memory for responses is used up.
   * The kernel accepts more bytes only after a caller has read a third of its socket's buffer, so
   * that a caller that reads slowly needs some time.
   */
  private static final long STALLED_CALLER_MS = 2000;

  private final NioReactor reactor;
  private final InetSocketAddress address;
  private final RequestHandler handler;
  private final Supplier<ListenerLimits> limits;
  private final Set<ServerConnection> connections = new HashSet<>();
  private final RequestMemoryBudget requestBudget;
  private final ResponseBufferBudget responseBudget;
  private final ListenerObserver observer;
  private final SimpleServer server;
  private boolean closing;

  /**
   * Creates a listener. The limits may change at run time; new size limits apply to connections
   * that are accepted afterwards.
   */
  public HttpListener(
      NioReactor reactor,
      InetSocketAddress address,
      RequestHandler handler,
      Supplier<ListenerLimits> limits,
      ListenerBudgets budgets) {
    this(reactor, address, handler, limits, budgets, ListenerObserver.NONE);
  }

  /** Creates a listener that is observed. */
  public HttpListener(
      NioReactor reactor,
      InetSocketAddress address,
      RequestHandler handler,
      Supplier<ListenerLimits> limits,
      ListenerBudgets budgets,
      ListenerObserver observer) {
    this.reactor = reactor;
    this.observer = observer;
    this.requestBudget = budgets.requests();
    this.responseBudget = budgets.responses();
    this.address = address;
    this.handler = handler;
    this.limits = limits;
    this.server = SimpleServer.builder(reactor, this::onAccept).withListenAddress(address).build();
  }

  /** Starts listening and enforcing the time limits. */
  public void listen() {
    try {
      server.listen();
    } catch (IOException e) {
      throw new ToucanrackException(
          ErrorCode.INVALID_SETTINGS, "cannot listen on " + address + ": " + e.getMessage(), e);
    }
    scheduleSweep();
  }

  /**
   * Closes each connection after the responses to all requests that were started before the next
   * response; idle ones are closed by {@link #close}.
   */
  public void closeConnectionsAfterResponse() {
    closing = true;
  }

  /** Returns the number of connections on which a request is being received or handled. */
  public int busyConnections() {
    int busy = 0;
    for (ServerConnection connection : connections) {
      if (!connection.isIdle()) {
        busy++;
      }
    }
    return busy;
  }

  /** Returns the memory that the connections hold for requests. */
  public ConnectionMemory memory() {
    long idleBytes = 0;
    long busyBytes = 0;
    for (ServerConnection connection : connections) {
      if (connection.isIdle()) {
        idleBytes += connection.requestBytes();
      } else {
        busyBytes += connection.requestBytes();
      }
    }
    return new ConnectionMemory(idleBytes, busyBytes);
  }

  /** Returns the memory that the connections hold for responses, in bytes. */
  public long unsentResponseBytes() {
    return responseBudget.usedBytes();
  }

  /** Stops listening and closes all connections. */
  public void close() {
    server.close();
    for (ServerConnection connection : new ArrayList<>(connections)) {
      connection.close();
    }
  }

  ListenerLimits limits() {
    return limits.get();
  }

  RequestHandler handler() {
    return handler;
  }

  RequestMemoryBudget requestBudget() {
    return requestBudget;
  }

  ResponseBufferBudget responseBudget() {
    return responseBudget;
  }

  ListenerObserver observer() {
    return observer;
  }

  boolean isClosing() {
    return closing;
  }

  long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  void remove(ServerConnection connection) {
    connections.remove(connection);
  }

  private void onAccept(ITcpSocket socket) {
    ServerConnection connection = new ServerConnection(this, socket, nowMillis());
    connections.add(connection);
    connection.start();
  }

  /** Closes callers that accept no responses, the longest first, until the responses fit. */
  private void closeStalledCallers(long now) {
    if (!responseBudget.isExceeded()) {
      return;
    }
    List<ServerConnection> stalled =
        connections.stream()
            .filter(connection -> connection.stalledMillis(now) >= STALLED_CALLER_MS)
            .sorted(Comparator.comparingLong(connection -> -connection.stalledMillis(now)))
            .toList();
    for (ServerConnection connection : stalled) {
      if (responseBudget.isExceeded()) {
        observer.stalledCallerClosed(connection.unsentBytes(), connection.stalledMillis(now));
        connection.close();
      }
    }
  }

  private void scheduleSweep() {
    reactor.delayBackground(
        SWEEP_INTERVAL_MS,
        () -> {
          long now = nowMillis();
          for (ServerConnection connection : new ArrayList<>(connections)) {
            connection.enforceLimits(now);
          }
          closeStalledCallers(now);
          scheduleSweep();
        });
  }
}
