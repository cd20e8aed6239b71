package org.toucanrack.scenarios.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Relays TCP connections between failure domains and drops all bytes in directions that are cut.
 *
 * <p>A failure domain is a loopback subnet, identified by the third octet of its addresses. While a
 * direction is cut, no bytes are forwarded in it, and new connections between the two failure
 * domains are closed. Connections that lost bytes are closed at the first bytes after the direction
 * heals, as a real network would time them out. Thread-safe.
 */
public final class PartitionedNetwork implements AutoCloseable {

  private static final int BUFFER_BYTES = 16 * 1024;

  private record Direction(int from, int to) {}

  private final Set<Direction> cutDirections = ConcurrentHashMap.newKeySet();
  private final List<AutoCloseable> openResources = new CopyOnWriteArrayList<>();

  /** Relays connections from the listen address to the target in the given failure domain. */
  void relay(InetSocketAddress listen, InetSocketAddress target, int targetDomain) {
    try {
      ServerSocket server = new ServerSocket();
      server.bind(listen);
      openResources.add(server);
      startDaemonThread(() -> accept(server, target, targetDomain));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Cuts the direction from one failure domain to another. */
  void cut(int from, int to) {
    cutDirections.add(new Direction(from, to));
  }

  /** Restores all cut directions. */
  void heal() {
    cutDirections.clear();
  }

  @Override
  public void close() {
    openResources.forEach(PartitionedNetwork::closeQuietly);
  }

  static int domainOf(InetAddress address) {
    return address.getAddress()[2];
  }

  private void accept(ServerSocket server, InetSocketAddress target, int targetDomain) {
    while (!server.isClosed()) {
      try {
        Socket caller = server.accept();
        startDaemonThread(() -> connect(caller, target, targetDomain));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket caller, InetSocketAddress target, int targetDomain) {
    int source = domainOf(caller.getInetAddress());
    Direction towardTarget = new Direction(source, targetDomain);
    Direction towardSource = new Direction(targetDomain, source);
    Socket upstream = new Socket();
    try {
      caller.setTcpNoDelay(true);
      upstream.setTcpNoDelay(true);
      if (!cutDirections.contains(towardTarget) && !cutDirections.contains(towardSource)) {
        upstream.connect(target, 1000);
        openResources.add(caller);
        openResources.add(upstream);
        startDaemonThread(() -> pump(caller, upstream, towardTarget));
        pump(upstream, caller, towardSource);
      }
    } catch (IOException e) {
      closeQuietly(upstream);
    } finally {
      closeQuietly(caller);
      closeQuietly(upstream);
      openResources.removeAll(List.of(caller, upstream));
    }
  }

  private void pump(Socket from, Socket to, Direction direction) {
    byte[] buffer = new byte[BUFFER_BYTES];
    boolean bytesDropped = false;
    try (InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
        boolean isCut = cutDirections.contains(direction);
        if (bytesDropped && !isCut) {
          return;
        }
        bytesDropped |= isCut;
        if (!isCut) {
          out.write(buffer, 0, length);
          out.flush();
        }
      }
    } catch (IOException e) {
      closeQuietly(to);
    }
  }

  private static void startDaemonThread(Runnable action) {
    Thread thread = new Thread(action, "network");
    thread.setDaemon(true);
    thread.start();
  }

  private static void closeQuietly(AutoCloseable closeable) {
    try {
      closeable.close();
    } catch (Exception e) {
      // Already closed, possibly by the other direction; nothing is left to release.
    }
  }
}
