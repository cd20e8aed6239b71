package org.toucanrack.internal.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.toucanrack.internal.protocol.generated.CancelForward;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;
import org.toucanrack.internal.protocol.generated.ForwardRequest;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.protocol.generated.VerdictCode;

/** Guards retries, hedged reads and cancellations. */
class AttemptsTest {

  private static final RawBackend.Script RESET =
      (request, connection, number) -> {
        connection.setSoLinger(true, 0);
        connection.close();
      };

  @Test
  void retriesReadsButNeverOrdersThatMayHaveRun() throws Exception {
    try (RawBackend broken = new RawBackend(RESET);
        RawBackend good = new RawBackend(RawBackend.ok("hello"));
        TrafficFixture fixture = TrafficFixture.start(broken, good);
        RawCaller caller = fixture.caller()) {

      String read = caller.send(TrafficFixture.get("/shop/a")).response();
      String order = caller.send(TrafficFixture.post("/shop/order", "x")).response();

      assertTrue(read.endsWith("hello"), read);
      assertTrue(order.contains("may-have-run"), order);
      assertEquals(1, good.requests().size());
    }
  }

  @Test
  void retriesOrdersThatWereShed() throws Exception {
    RawBackend.Script shed =
        (request, connection, number) ->
            RawBackend.write(
                connection,
                "HTTP/1.1 503 Busy\r\nToucanrack-Shed: not-run\r\nContent-Length: 0\r\n\r\n");
    try (RawBackend full = new RawBackend(shed);
        RawBackend good = new RawBackend(RawBackend.ok("done"));
        TrafficFixture fixture = TrafficFixture.start(full, good);
        RawCaller caller = fixture.caller()) {

      String order = caller.send(TrafficFixture.post("/shop/order", "x")).response();

      assertTrue(order.endsWith("done"), order);
      assertEquals(1, full.requests().size());
    }
  }

  @Test
  void startsAtMostThreeAttempts() throws Exception {
    try (RawBackend broken = new RawBackend(RESET);
        TrafficFixture fixture = TrafficFixture.start(broken);
        RawCaller caller = fixture.caller()) {

      String read = caller.send(TrafficFixture.get("/shop/a")).response();

      assertTrue(read.contains("may-have-run"), read);
      assertEquals(3, broken.requests().size());
    }
  }

  @Test
  void hedgesSlowReadsAndCancelsTheSlowerAttempt() throws Exception {
    RawBackend.Script slowOnce =
        (request, connection, number) -> {
          if (request.startsWith("GET /slow") && request.contains("-Id: vm1.7.21.1\r\n")) {
            Thread.sleep(2500);
          }
          RawBackend.write(connection, RawBackend.okResponse("hello"));
        };
    try (RawBackend backend = new RawBackend(slowOnce);
        TrafficFixture fixture = TrafficFixture.start(backend);
        RawCaller caller = fixture.caller()) {
      for (int i = 0; i < 20; i++) {
        caller.send(TrafficFixture.get("/shop/fast")).response();
      }

      long startNanos = System.nanoTime();
      String response = caller.send(TrafficFixture.get("/shop/slow")).response();
      Duration elapsed = Duration.ofNanos(System.nanoTime() - startNanos);
      Thread.sleep(200);

      assertTrue(response.endsWith("hello"), response);
      assertTrue(elapsed.toMillis() < 1500, elapsed.toString());
      assertTrue(fixture.dispatcher.submitted.get(21).onlyIfFree());
      assertTrue(
          backend.requests().stream()
              .anyMatch(request -> request.startsWith("POST /cancel/vm1.7.21.1 ")));
    }
  }

  // Guards against hedged reads that run on the previous version after a completed rollout.
  @Test
  void hedgedReadsStayOnTheirVersion() throws Exception {
    CountDownLatch hedged = new CountDownLatch(2);
    RawBackend.Script slow =
        (request, connection, number) -> {
          if (request.startsWith("GET /slow")) {
            hedged.countDown();
            hedged.await(2, TimeUnit.SECONDS);
          }
          RawBackend.write(connection, RawBackend.okResponse("hello"));
        };
    try (RawBackend candidate = new RawBackend(slow);
        TrafficFixture fixture =
            TrafficFixture.start(
                Duration.ofSeconds(3),
                List.of(
                    TrafficFixture.server(
                        "new",
                        TrafficFixture.CANDIDATE,
                        TrafficFixture.LOCAL_DOMAIN,
                        candidate.port()),
                    TrafficFixture.server("old", TrafficFixture.LOCAL_DOMAIN, 1)),
                TrafficFixture.settings());
        RawCaller caller = fixture.caller()) {
      fixture.selectCandidate();
      for (int i = 0; i < 20; i++) {
        caller.send(TrafficFixture.get("/shop/fast")).response();
      }

      String response = caller.send(TrafficFixture.get("/shop/slow")).response();

      assertTrue(response.endsWith("hello"), response);
      assertEquals(List.of(), fixture.peers.requested);
      assertEquals(0, hedged.getCount(), "the read was not hedged on its version");
    }
  }

  @Test
  void neverRunsRequestAfterItsCancellation() throws Exception {
    try (RawBackend backend = new RawBackend(RawBackend.ok("hello"));
        TrafficFixture fixture = TrafficFixture.start(backend)) {

      fixture.peers.deliver(
          PeerEnvelope.newBuilder()
              .setCancelForward(CancelForward.newBuilder().setRequestId("vm2.8.1.1"))
              .build());
      ForwardAnswer answer = forward(fixture);

      assertEquals(VerdictCode.VERDICT_NOT_RUN, answer.getVerdict());
      assertEquals(0, backend.requests().size());
    }
  }

  @Test
  void passesTheRemainingDeadlineOfForwardedRequestsToTheBackendServer() throws Exception {
    try (RawBackend backend = new RawBackend(RawBackend.ok("hello"));
        TrafficFixture fixture = TrafficFixture.start(backend)) {

      ForwardAnswer answer = forward(fixture);

      assertEquals("hello", answer.getBody().toStringUtf8());
      String left =
          backend
              .requests()
              .get(0)
              .lines()
              .filter(line -> line.toLowerCase().startsWith("toucanrack-deadline-ms:"))
              .findFirst()
              .orElseThrow();
      assertTrue(Integer.parseInt(left.substring(23).trim()) <= 700, left);
    }
  }

  private static ForwardAnswer forward(TrafficFixture fixture) throws Exception {
    ForwardRequest request =
        ForwardRequest.newBuilder()
            .setRequestId("vm2.8.1.1")
            .setService("shop")
            .setRoute("read")
            .setCustomer("acme")
            .setMethod("GET")
            .setTarget("/a")
            .setDeadlineMillis(700)
            .build();
    return fixture
        .peers
        .deliver(PeerEnvelope.newBuilder().setForwardRequest(request).build())
        .toCompletableFuture()
        .get()
        .getForwardAnswer();
  }
}
