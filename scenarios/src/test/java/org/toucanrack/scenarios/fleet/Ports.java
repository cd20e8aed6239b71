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
    throw new IllegalStateException("no port is left between " + FIRST_PORT + " and " + LAST_PORT);
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
