package org.toucanrack.standin.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.toucanrack.standin.TestHttp;

/** Tests that a cut link forwards no bytes, that none are lost once it heals, and its delay. */
class LinkProcessTest {

  private static final int DELAY_MILLIS = 40;

  @Test
  void cutLinkHoldsBytesUntilItHeals() throws Exception {
    try (ServerSocket target = new ServerSocket(0);
        LinkProcess link = link(target);
        Socket caller = new Socket("127.0.0.1", link.ports().get(0));
        Socket accepted = target.accept()) {
      TestHttp control = new TestHttp(link.controlPort());
      control.post("/cut", "{'direction':'forth'}");

      caller.getOutputStream().write(7);
      final boolean leaked = byteArrives(accepted, 5 * DELAY_MILLIS);
      control.post("/heal", "");

      assertFalse(leaked);
      assertTrue(byteArrives(accepted, 10_000));
    }
  }

  @Test
  void relayedBytesArriveAfterTheLinkDelay() throws Exception {
    try (ServerSocket target = new ServerSocket(0);
        LinkProcess link = link(target);
        Socket caller = new Socket("127.0.0.1", link.ports().get(0));
        Socket accepted = target.accept()) {
      long start = System.nanoTime();

      caller.getOutputStream().write(7);
      int received = accepted.getInputStream().read();

      assertEquals(7, received);
      long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
      assertTrue(elapsed >= DELAY_MILLIS - 2, "took " + elapsed + " ms");
    }
  }

  private static LinkProcess link(ServerSocket target) throws Exception {
    InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", target.getLocalPort());
    return new LinkProcess(List.of(any), List.of(address), any, DELAY_MILLIS, 0);
  }

  private static boolean byteArrives(Socket socket, int timeoutMillis) throws Exception {
    socket.setSoTimeout(timeoutMillis);
    try {
      return socket.getInputStream().read() == 7;
    } catch (SocketTimeoutException e) {
      return false;
    }
  }
}
