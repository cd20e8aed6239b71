package org.toucanrack.scenarios.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Gives out ports to the scenarios of this JVM, each once.
 *
 * <p>The range lies below the ports that the system gives to outgoing connections: a free port of
 * that range was taken by a connection of another scenario before its server listened. Thread-safe.
 */
final class Ports {

  private static final int FIRST = 22_000;
  private static final int LAST = 31_999;
  private static final AtomicInteger NEXT = new AtomicInteger(FIRST);

  private Ports() {}

  static int next() {
    for (int port = NEXT.getAndIncrement(); port <= LAST; port = NEXT.getAndIncrement()) {
      if (isFree(port)) {
        return port;
      }
    }
    throw new IllegalStateException("no port is left between " + FIRST + " and " + LAST);
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(port));
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
