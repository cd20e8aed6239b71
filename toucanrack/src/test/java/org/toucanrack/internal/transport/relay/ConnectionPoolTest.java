package org.toucanrack.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.activej.eventloop.Eventloop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanrack.internal.protocol.message.HttpField;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.testing.FreePorts;

class ConnectionPoolTest {

  private static final int ANSWER_BYTES = 300_000;
  private static final int CALLS = 10;
  private static final long HEAP_BYTES = 96L * 1024 * 1024;
  private static final long MAX_BUFFERED_BYTES = HEAP_BYTES / 4;
  private static final HttpMessage REQUEST =
      HttpMessage.of("GET / HTTP/1.1", List.of(new HttpField("Host", "h")));

  private final Eventloop loop = Eventloop.create();
  private final InetSocketAddress address =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.allocate());
  private final List<RequestHandler.Exchange> waiting = new ArrayList<>();
  private ConnectionPool pool;

  @BeforeEach
  void start() throws Exception {
    loop.keepAlive(true);
    Thread thread = new Thread(loop);
    thread.setDaemon(true);
    thread.start();
    HttpListener server =
        new HttpListener(
            loop,
            address,
            this::handle,
            () -> ListenerLimits.INTERNAL,
            ListenerBudgets.ofCallers(HEAP_BYTES));
    pool =
        onLoop(
            () -> {
              server.listen();
              return new ConnectionPool(loop, 16 * 1024, 1024 * 1024, MAX_BUFFERED_BYTES);
            });
  }

  @AfterEach
  void stop() {
    loop.execute(loop::breakEventloop);
  }

  /** Answers all requests together, so that each needs a connection of its own. */
  private void handle(HttpMessage request, RequestHandler.Exchange exchange) {
    waiting.add(exchange);
    if (waiting.size() == CALLS) {
      HttpField type = new HttpField("Content-Type", "application/octet-stream");
      waiting.forEach(
          pending -> pending.respond(Responses.withBody(200, type, new byte[ANSWER_BYTES])));
    }
  }

  // Guards against connections to servers, peers and the store that go on holding a buffer as large
  // as their last answer.
  @Test
  void idleConnectionsHoldNoMemoryAfterAnswers() throws Exception {
    List<CompletableFuture<HttpMessage>> answers = new ArrayList<>();
    for (int i = 0; i < CALLS; i++) {
      answers.add(new CompletableFuture<>());
    }
    onLoop(
        () -> {
          answers.forEach(answer -> send(pool, answer));
          return true;
        });
    for (CompletableFuture<HttpMessage> answer : answers) {
      assertEquals(ANSWER_BYTES, answer.get(10, TimeUnit.SECONDS).body().length);
    }

    ConnectionMemory memory = onLoop(pool::memory);

    assertEquals(0, memory.idleBytes());
    assertEquals(0, memory.busyBytes());
  }

  private void send(ConnectionPool target, CompletableFuture<HttpMessage> answer) {
    target.send(
        address,
        REQUEST.encoded(false),
        null,
        Duration.ofSeconds(5),
        new ResponseListener() {
          @Override
          public void onResponse(HttpMessage response) {
            answer.complete(response);
          }

          @Override
          public void onFailure(CallFailure failure, String reason) {
            answer.completeExceptionally(new IllegalStateException(reason));
          }
        });
  }

  private <T> T onLoop(Supplier<T> action) throws Exception {
    return CompletableFuture.supplyAsync(action, loop).get(10, TimeUnit.SECONDS);
  }
}
