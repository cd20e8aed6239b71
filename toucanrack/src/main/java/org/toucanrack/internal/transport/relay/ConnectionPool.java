package org.toucanrack.internal.transport.relay;

import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import jdk.net.ExtendedSocketOptions;
import org.toucanrack.internal.protocol.message.EncodedMessage;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.internal.transport.relay.ResponseListener.CallFailure;

/**
 * A pool of persistent connections to servers, each of which carries one call at a time.
 *
 * <p>Invariant: a connection is reused only after a complete response with no bytes after it, and
 * only while the server's idle timeout has not expired. Confined to one event loop.
 */
public final class ConnectionPool {

  /** Nagle's algorithm is off, since each request is a single write. */
  private static final SocketSettings SOCKET_SETTINGS =
      SocketSettings.builder().withTcpNoDelay(true).withKeepAlive(true).build();

  /** Idle timeout assumed for servers that announce none. */
  private static final long DEFAULT_IDLE_TIMEOUT_MS = 4000;

  /**
   * Margin to the server's idle timeout, since a request may be in flight when the server closes.
   */
  private static final long IDLE_MARGIN_MS = 1000;

  private static final long SWEEP_INTERVAL_MS = 1000;

  /**
   * With these probes a dead connection is detected within about 3 s, before callers' deadlines.
   */
  private static final int KEEP_ALIVE_IDLE_S = 1;

  private static final int KEEP_ALIVE_INTERVAL_S = 1;
  private static final int KEEP_ALIVE_PROBES = 2;

  private static final Logger LOGGER = System.getLogger(ConnectionPool.class.getName());

  private final NioReactor reactor;
  private final int maxResponseHeadBytes;
  private final long maxResponseBodyBytes;
  private final Map<InetSocketAddress, Deque<PooledConnection>> idleConnections = new HashMap<>();
  private final ResponseBufferBudget bufferBudget;
  private final TransferCounter.Source counters;
  private long openedConnections;

  /**
   * Creates a pool that accepts responses up to these sizes in bytes, and holds at most {@code
   * maxBufferedBytes} of all unfinished responses together.
   */
  public ConnectionPool(
      NioReactor reactor,
      int maxResponseHeadBytes,
      long maxResponseBodyBytes,
      long maxBufferedBytes) {
    this(
        reactor,
        maxResponseHeadBytes,
        maxResponseBodyBytes,
        new ResponseBufferBudget(maxBufferedBytes),
        address -> TransferCounter.NONE);
  }

  private ConnectionPool(
      NioReactor reactor,
      int maxResponseHeadBytes,
      long maxResponseBodyBytes,
      ResponseBufferBudget bufferBudget,
      TransferCounter.Source counters) {
    this.reactor = reactor;
    this.maxResponseHeadBytes = maxResponseHeadBytes;
    this.maxResponseBodyBytes = maxResponseBodyBytes;
    this.bufferBudget = bufferBudget;
    this.counters = counters;
    scheduleSweep();
  }

  /**
   * Returns a pool that counts the bytes of its calls. It has its own connections, and shares the
   * limits and the memory for incomplete responses with this one.
   */
  public ConnectionPool counting(TransferCounter.Source newCounters) {
    return new ConnectionPool(
        reactor, maxResponseHeadBytes, maxResponseBodyBytes, bufferBudget, newCounters);
  }

  /** Returns the number of connections opened so far. */
  public long openedConnections() {
    return openedConnections;
  }

  /** Returns the memory that the connections hold for received bytes. */
  public ConnectionMemory memory() {
    long idleBytes =
        idleConnections.values().stream()
            .flatMap(Deque::stream)
            .mapToLong(PooledConnection::receivedBytes)
            .sum();
    return new ConnectionMemory(idleBytes, bufferBudget.usedBytes());
  }

  /**
   * Sends a request on an idle connection to the server, or on a new one. Call on the event loop
   * only.
   *
   * @param request the complete request
   * @param correlation the header that the response must repeat, or null to accept any response
   */
  public Call send(
      InetSocketAddress address,
      EncodedMessage request,
      CorrelationHeader correlation,
      Duration connectTimeout,
      ResponseListener listener) {
    Call call = new Call(listener);
    PooledConnection connection = acquireIdle(address);
    if (connection != null) {
      call.connection = connection;
      connection.send(request, correlation, call);
      return call;
    }
    openedConnections++;
    TcpSocket.connect(reactor, address, connectTimeout, SOCKET_SETTINGS)
        .subscribe(
            (socket, failure) -> onConnected(call, address, request, correlation, socket, failure));
    return call;
  }

  /** Closes the idle connections to a server, for use when it is gone or does not respond. */
  public void closeIdle(InetSocketAddress address) {
    Deque<PooledConnection> connections = idleConnections.remove(address);
    if (connections != null) {
      new ArrayList<>(connections).forEach(PooledConnection::close);
    }
  }

  /** Closes all idle connections. */
  public void close() {
    new ArrayList<>(idleConnections.keySet()).forEach(this::closeIdle);
  }

  private void onConnected(
      Call call,
      InetSocketAddress address,
      EncodedMessage request,
      CorrelationHeader correlation,
      TcpSocket socket,
      Exception failure) {
    if (failure != null) {
      call.fail(CallFailure.NOT_SENT, "connect: " + failure.getMessage());
      return;
    }
    enableKeepAliveProbes(socket);
    PooledConnection connection =
        new PooledConnection(
            this,
            address,
            socket,
            counters.counterFor(address),
            maxResponseHeadBytes,
            maxResponseBodyBytes);
    connection.start();
    if (call.ended) {
      release(connection, DEFAULT_IDLE_TIMEOUT_MS);
      return;
    }
    call.connection = connection;
    connection.send(request, correlation, call);
  }

  /**
   * A connection can die without a reset; without probes that would be detected only after hours.
   */
  private static void enableKeepAliveProbes(TcpSocket socket) {
    try {
      socket
          .getSocketChannel()
          .setOption(ExtendedSocketOptions.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
          .setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, KEEP_ALIVE_INTERVAL_S)
          .setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, KEEP_ALIVE_PROBES);
    } catch (IOException | UnsupportedOperationException e) {
      LOGGER.log(Level.WARNING, "[pool] Keep-alive probes cannot be set: {0}.", e.getMessage());
    }
  }

  private PooledConnection acquireIdle(InetSocketAddress address) {
    Deque<PooledConnection> connections = idleConnections.get(address);
    long now = nowMillis();
    while (connections != null && !connections.isEmpty()) {
      PooledConnection connection = connections.pollFirst();
      if (connection.isUsable(now)) {
        return connection;
      }
      connection.close();
    }
    return null;
  }

  void release(PooledConnection connection, long serverIdleTimeoutMillis) {
    long usableMillis = serverIdleTimeoutMillis - IDLE_MARGIN_MS;
    if (usableMillis <= 0) {
      connection.close();
      return;
    }
    connection.setUsableUntilMillis(nowMillis() + usableMillis);
    idleConnections
        .computeIfAbsent(connection.address(), key -> new ArrayDeque<>())
        .addFirst(connection);
  }

  void release(PooledConnection connection) {
    release(connection, DEFAULT_IDLE_TIMEOUT_MS);
  }

  void remove(PooledConnection connection) {
    Deque<PooledConnection> connections = idleConnections.get(connection.address());
    if (connections != null) {
      connections.remove(connection);
      if (connections.isEmpty()) {
        idleConnections.remove(connection.address());
      }
    }
  }

  ResponseBufferBudget bufferBudget() {
    return bufferBudget;
  }

  static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  private void scheduleSweep() {
    reactor.delayBackground(
        SWEEP_INTERVAL_MS,
        () -> {
          long now = nowMillis();
          for (Deque<PooledConnection> connections : new ArrayList<>(idleConnections.values())) {
            for (PooledConnection connection : new ArrayList<>(connections)) {
              if (!connection.isUsable(now)) {
                connection.close();
              }
            }
          }
          scheduleSweep();
        });
  }

  /** One call. Confined to the pool's event loop. */
  public static final class Call {

    private final ResponseListener listener;
    private PooledConnection connection;
    private boolean ended;

    private Call(ResponseListener listener) {
      this.listener = listener;
    }

    /**
     * Cancels the call without notifying its listener. If the request was sent, its connection is
     * closed, which makes the server stop working on it.
     */
    public void cancel() {
      if (!ended) {
        ended = true;
        if (connection != null) {
          connection.close();
        }
      }
    }

    void complete(HttpMessage response) {
      if (!ended) {
        ended = true;
        listener.onResponse(response);
      }
    }

    void fail(CallFailure failure, String reason) {
      if (!ended) {
        ended = true;
        listener.onFailure(failure, reason);
      }
    }
  }

  /**
   * A response header that identifies the request it belongs to.
   *
   * @param name the name of the header field
   * @param value the value that the response to this request carries
   */
  public record CorrelationHeader(String name, String value) {}
}
