package org.toucanrack.scenarios.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates free ports to the scenarios of this JVM, each at most once. Thread-safe.
 *
 * <p>The range lies below the ephemeral ports of the system. With ephemeral ports, an outgoing
 * connection of another scenario took an allocated port before the server had bound it.
 */
final class Ports {

  private static final int FIRST_PORT = 22_000;
  private static final int LAST_PORT = 31_999;
  private static final AtomicInteger NEXT_PORT = new AtomicInteger(FIRST_PORT);

  private Ports() {}

  static int allocate() {
    for (int port = NEXT_PORT.getAndIncrement();
        port <= LAST_PORT;
        port = NEXT_PORT.getAndIncrement()) {
      if (isFree(port)) {
        return port;
      }
    }
    throw new IllegalStateException(
        "no free port left between " + FIRST_PORT + " and " + LAST_PORT);
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
