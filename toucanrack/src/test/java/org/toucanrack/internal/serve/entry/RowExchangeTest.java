package org.toucanrack.internal.serve.entry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanrack.internal.state.shared.SharedTableReplica;
import org.toucanrack.internal.transport.relay.ConnectionPool;

class RowExchangeTest {

  private static final String EMPTY_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  private final Eventloop loop = Eventloop.create();

  @BeforeEach
  void start() {
    loop.keepAlive(true);
    Thread thread = new Thread(loop);
    thread.setDaemon(true);
    thread.start();
  }

  @AfterEach
  void stop() {
    loop.execute(loop::breakEventloop);
  }

  // Guards against requests to a draining server: a fetch from a VM that had stopped answering
  // blocked fetches from all other VMs until the dead connection was detected.
  @Test
  void fetchesRowsFromAnotherVmAfterSilentVmTimedOut() throws Exception {
    CountDownLatch fetched = new CountDownLatch(1);
    try (ServerSocket silent = listen();
        ServerSocket answering = listen()) {
      answerOnce(answering);
      loop.execute(
          () -> {
            RowExchange exchange =
                new RowExchange(
                    loop,
                    new SharedTableReplica(),
                    new ConnectionPool(loop, 1024, 1024, 1024 * 1024),
                    List::of,
                    rows -> fetched.countDown());
            exchange.fetch(address(silent));
            loop.delayBackground(600, () -> exchange.fetch(address(answering)));
          });

      assertTrue(fetched.await(2, TimeUnit.SECONDS));
    }
  }

  private static ServerSocket listen() throws IOException {
    return new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
  }

  private static InetSocketAddress address(ServerSocket socket) {
    return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
  }

  private static void answerOnce(ServerSocket socket) {
    Thread thread =
        new Thread(
            () -> {
              try (Socket connection = socket.accept()) {
                connection.getInputStream().read(new byte[1024]);
                connection
                    .getOutputStream()
                    .write(EMPTY_RESPONSE.getBytes(StandardCharsets.ISO_8859_1));
                connection.getInputStream().read();
              } catch (IOException e) {
                // The test fails since no rows arrive.
                return;
              }
            });
    thread.setDaemon(true);
    thread.start();
  }
}
