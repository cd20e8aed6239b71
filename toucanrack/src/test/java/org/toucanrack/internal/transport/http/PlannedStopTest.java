package org.toucanrack.internal.transport.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards look-ups and requests in flight during a planned stop. */
class PlannedStopTest {

  private static final String LOOK_UP =
      "GET /_toucanrack/lookup?service=shop&client=10.0.0.1 HTTP/1.1\r\nHost: t\r\n\r\n";

  @Test
  void ordersLookUpEntriesByFailureDomainAndOmitsTheStoppingVm() throws Exception {
    try (RawBackend backend = new RawBackend(RawBackend.ok("hello"));
        TrafficFixture fixture = TrafficFixture.start(backend);
        RawCaller caller = fixture.caller()) {

      String before = caller.send(LOOK_UP).response();
      fixture.server.drain(Duration.ofMillis(300));
      String after = caller.send(LOOK_UP).response();
      final String served = caller.send(TrafficFixture.get("/shop/a")).response();

      assertTrue(before.contains("[\"127.0.0.1:1001\",\"127.0.0.1:1002\"]"), before);
      assertTrue(before.contains("\"ttlSeconds\":1"), before);
      assertTrue(after.contains("[\"127.0.0.1:1002\"]"), after);
      assertTrue(served.endsWith("hello"), served);
    }
  }

  @Test
  void finishesLargeUploadBeforeTheDrainCompletes() throws Exception {
    try (RawBackend backend = new RawBackend(RawBackend.ok("stored"));
        TrafficFixture fixture = TrafficFixture.start(backend);
        RawCaller idle = fixture.caller();
        RawCaller uploading = fixture.caller()) {
      idle.send(TrafficFixture.get("/shop/a")).response();
      String upload = TrafficFixture.post("/shop/upload", "x".repeat(1_500_000));
      uploading.send(upload.substring(0, 500_000));
      Thread.sleep(100);

      CompletableFuture<Void> drained = fixture.server.drain(Duration.ofMillis(200));
      Thread.sleep(600);
      boolean drainedEarly = drained.isDone();
      String response = uploading.send(upload.substring(500_000)).response();
      drained.get(5, TimeUnit.SECONDS);

      assertFalse(drainedEarly);
      assertTrue(response.endsWith("stored"), response.substring(0, 40));
      assertTrue(response.toLowerCase().contains("connection: close"), response);
      assertTrue(idle.closedByServer());
      assertTrue(uploading.closedByServer());
    }
  }

  @Test
  void answersOpenConnectionsOnceMoreAfterTheTimeToLive() throws Exception {
    try (RawBackend backend = new RawBackend(RawBackend.ok("hello"));
        TrafficFixture fixture = TrafficFixture.start(backend);
        RawCaller caller = fixture.caller()) {
      caller.send(TrafficFixture.get("/shop/a")).response();

      fixture.server.drain(Duration.ofMillis(100));
      Thread.sleep(400);
      String last = caller.send(TrafficFixture.get("/shop/a")).response();

      assertTrue(last.endsWith("hello"), last);
      assertTrue(last.toLowerCase().contains("connection: close"), last);
      assertTrue(caller.closedByServer());
    }
  }
}
