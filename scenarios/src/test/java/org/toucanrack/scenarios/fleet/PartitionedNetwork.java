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
 * Relays TCP between failure domains and drops the bytes of directions that are cut.
 *
 * <p>A failure domain is a loopback subnet: the third number of an address. A cut direction neither
 * forwards bytes nor accepts connections; connections that lost bytes are closed when it heals, as
 * a real network would time them out. Thread-safe.
 */
public final class PartitionedNetwork implements AutoCloseable {

  private static final int BUFFER_BYTES = 16 * 1024;

  private record Direction(int from, int to) {}

  private final Set<Direction> cuts = ConcurrentHashMap.newKeySet();
  private final List<AutoCloseable> open = new CopyOnWriteArrayList<>();

  /** Relays connections to the listen address on to the target. */
  void relay(InetSocketAddress listen, InetSocketAddress target, int targetDomain) {
    try {
      ServerSocket server = new ServerSocket();
      server.bind(listen);
      open.add(server);
      daemon(() -> accept(server, target, targetDomain));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Cuts traffic from one failure domain to another. */
  void cut(int from, int to) {
    cuts.add(new Direction(from, to));
  }

  /** Heals all cuts. */
  void heal() {
    cuts.clear();
  }

  @Override
  public void close() {
    open.forEach(PartitionedNetwork::closeQuietly);
  }

  static int domainOf(InetAddress address) {
    return address.getAddress()[2];
  }

  private void accept(ServerSocket server, InetSocketAddress target, int targetDomain) {
    while (!server.isClosed()) {
      try {
        Socket caller = server.accept();
        daemon(() -> connect(caller, target, targetDomain));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket caller, InetSocketAddress target, int targetDomain) {
    int source = domainOf(caller.getInetAddress());
    Direction there = new Direction(source, targetDomain);
    Direction back = new Direction(targetDomain, source);
    Socket onward = new Socket();
    try {
      caller.setTcpNoDelay(true);
      onward.setTcpNoDelay(true);
      if (!cuts.contains(there) && !cuts.contains(back)) {
        onward.connect(target, 1000);
        open.add(caller);
        open.add(onward);
        daemon(() -> pump(caller, onward, there));
        pump(onward, caller, back);
      }
    } catch (IOException e) {
      closeQuietly(onward);
    } finally {
      closeQuietly(caller);
      closeQuietly(onward);
      open.removeAll(List.of(caller, onward));
    }
  }

  private void pump(Socket from, Socket to, Direction direction) {
    byte[] buffer = new byte[BUFFER_BYTES];
    boolean lost = false;
    try (InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
        boolean cut = cuts.contains(direction);
        if (lost && !cut) {
          return;
        }
        lost |= cut;
        if (!cut) {
          out.write(buffer, 0, length);
          out.flush();
        }
      }
    } catch (IOException e) {
      closeQuietly(to);
    }
  }

  private static void daemon(Runnable action) {
    Thread thread = new Thread(action, "network");
    thread.setDaemon(true);
    thread.start();
  }

  private static void closeQuietly(AutoCloseable closeable) {
    try {
      closeable.close();
    } catch (Exception e) {
      // A relay that is closed twice has nothing left to release.
    }
  }
}
