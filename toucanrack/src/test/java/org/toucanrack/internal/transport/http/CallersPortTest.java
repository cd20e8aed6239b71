package org.toucanrack.internal.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.toucanrack.internal.state.KeyFreshness;

/**
 * Guards the callers' port against requests that are malformed, too large, slow or carry two keys.
 */
class CallersPortTest {

  private static final String KEYED = "Host: t\r\nX-Api-Key: " + TrafficFixture.KEY + "\r\n";

  private RawBackend backend;
  private TrafficFixture fixture;
  private RawCaller caller;

  @BeforeEach
  void start() throws Exception {
    backend = new RawBackend(RawBackend.ok("hello"));
    TrafficSettings settings =
        new TrafficSettings(
            new InetSocketAddress("127.0.0.1", 0),
            2,
            3,
            Duration.ofMillis(400),
            Duration.ofMillis(800),
            Duration.ofSeconds(5));
    fixture =
        TrafficFixture.start(
            Duration.ofSeconds(3),
            java.util.List.of(
                TrafficFixture.server("b0", TrafficFixture.LOCAL_DOMAIN, backend.port())),
            settings);
    caller = fixture.caller();
  }

  @AfterEach
  void stop() throws Exception {
    caller.close();
    fixture.close();
    backend.close();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "POST /shop/a HTTP/1.1~KContent-Length: 4~Transfer-Encoding: chunked~~0~~",
        "GET /shop/a HTTP/1.1~KAuthorization: Bearer other~~",
        "GET /shop/a?API_KEY=1 HTTP/1.1~K~",
        "GET /shop/a HTTP/1.1~KCookie: a=b; key=1~~",
        "GET /shop/a?x=opensesame HTTP/1.1~K~",
        "GET /shop/open/../a HTTP/1.1~Host: t~~"
      })
  void rejectsAmbiguousRequestsWithoutReachingTheBackend(String request) throws Exception {
    String response = caller.send(request.replace("K", KEYED).replace("~", "\r\n")).response();

    assertTrue(response.startsWith("HTTP/1.1 400"), response);
    assertTrue(response.contains("\"verdict\":\"not-run\""), response);
    assertEquals(0, backend.requests().size());
  }

  @Test
  void answersValidRequestsBeforeRejectedPipelinedOneAndCloses() throws Exception {
    caller.send(TrafficFixture.get("/shop/a") + "GET /shop/b HTTP/1.1\nHost: t\n\n");

    assertTrue(caller.response().startsWith("HTTP/1.1 200"));
    assertTrue(caller.response().startsWith("HTTP/1.1 400"));
    assertTrue(caller.closedByServer());
    assertEquals(1, backend.requests().size());
  }

  @Test
  void checksRequestsThatFollowChunkedBodies() throws Exception {
    caller.send(
        "POST /shop/a HTTP/1.1\r\n"
            + KEYED
            + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
            + "GET /shop/b HTTP/1.1\r\nHost : t\r\n\r\n");

    assertTrue(caller.response().startsWith("HTTP/1.1 200"));
    assertTrue(caller.response().startsWith("HTTP/1.1 400"));
    assertTrue(backend.requests().get(0).endsWith("abc"));
  }

  @Test
  void disconnectsSlowSendersOfHeadersAndBodies() throws Exception {
    long startNanos = System.nanoTime();
    caller.send("GET /shop/a HTTP/1.1\r\nHo");
    try (RawCaller slowBody = fixture.caller()) {
      slowBody.send("POST /shop/a HTTP/1.1\r\n" + KEYED + "Content-Length: 9\r\n\r\nabc");

      assertTrue(caller.closedByServer());
      assertTrue(slowBody.closedByServer());
    }
    assertTrue(System.nanoTime() - startNanos < Duration.ofSeconds(4).toNanos());
    assertEquals(0, backend.requests().size());
  }

  @Test
  void refusesConnectionsOverTheLimit() throws Exception {
    try (RawCaller second = fixture.caller();
        RawCaller third = fixture.caller()) {
      for (RawCaller accepted : java.util.List.of(caller, second, third)) {
        accepted.send(TrafficFixture.get("/shop/a")).response();
      }
      try (RawCaller fourth = fixture.caller()) {
        assertTrue(fourth.closedByServer());
      }
      assertTrue(third.send(TrafficFixture.get("/shop/a")).response().startsWith("HTTP/1.1 200"));
    }
  }

  @Test
  void refusesBodiesOverTheLimitAndCloses() throws Exception {
    String declared =
        caller
            .send("POST /shop/a HTTP/1.1\r\n" + KEYED + "Content-Length: 2000001\r\n\r\nabc")
            .response();
    try (RawCaller chunked = fixture.caller()) {
      String chunk = "f4240\r\n" + "x".repeat(1_000_000) + "\r\n";
      chunked.send("POST /shop/a HTTP/1.1\r\n" + KEYED + "Transfer-Encoding: chunked\r\n\r\n");
      String streamed = chunked.send(chunk + chunk + chunk + "0\r\n\r\n").response();

      assertTrue(declared.startsWith("HTTP/1.1 413"), declared);
      assertTrue(streamed.startsWith("HTTP/1.1 413"), streamed);
      assertTrue(caller.closedByServer());
      assertEquals(0, backend.requests().size());
    }
  }

  @Test
  void refusesRevokedKeyOnAnOpenConnection() throws Exception {
    String before = caller.send(TrafficFixture.get("/shop/a")).response();
    fixture.publish(false);
    String after = caller.send(TrafficFixture.get("/shop/a")).response();

    assertTrue(before.startsWith("HTTP/1.1 200"), before);
    assertTrue(after.startsWith("HTTP/1.1 401"), after);
  }

  @Test
  void refusesKeyRevokedDuringTheUpload() throws Exception {
    caller.send("POST /shop/a HTTP/1.1\r\n" + KEYED + "Content-Length: 6\r\n\r\nabc");
    Thread.sleep(100);
    fixture.publish(false);

    String response = caller.send("def").response();

    assertTrue(response.startsWith("HTTP/1.1 401"), response);
    assertEquals(0, backend.requests().size());
  }

  @Test
  void refusesKeyedRoutesWithoutProofOfFreshKeysUnlessDeclared() throws Exception {
    long now = System.nanoTime();
    KeyFreshness old = new KeyFreshness(now - Duration.ofSeconds(5).toNanos());
    fixture.publish(true, TrafficFixture.lease(now), old, false);
    String keyed = caller.send(TrafficFixture.get("/shop/a")).response();
    String open = caller.send("GET /shop/open HTTP/1.1\r\nHost: t\r\n\r\n").response();
    fixture.publish(true, TrafficFixture.lease(now), old, true);
    String declared = caller.send(TrafficFixture.get("/shop/a")).response();

    assertTrue(keyed.startsWith("HTTP/1.1 503") && keyed.contains("KEYS_NOT_FRESH"), keyed);
    assertTrue(open.startsWith("HTTP/1.1 200"), open);
    assertTrue(declared.startsWith("HTTP/1.1 200"), declared);
  }

  @Test
  void passesAllowedHeadersAndTheCustomerButNeverTheKey() throws Exception {
    caller
        .send(
            "GET /shop/a HTTP/1.1\r\n"
                + KEYED
                + "Accept: text/x\r\nCookie: s=1\r\nToucanrack-Customer: evil\r\n\r\n")
        .response();

    String request = backend.requests().get(0).toLowerCase();
    assertTrue(request.contains("accept: text/x") && request.contains("cookie: s=1"), request);
    assertTrue(request.contains("toucanrack-customer: acme"), request);
    assertFalse(request.contains("opensesame") || request.contains("evil"), request);
  }

  @Test
  void passesTheSmallerDeadlineReducedByOneHop() throws Exception {
    caller
        .send("GET /shop/a HTTP/1.1\r\n" + KEYED + "Toucanrack-Deadline-Ms: 1000\r\n\r\n")
        .response();

    String request = backend.requests().get(0);
    String millis = request.replaceAll("(?s).*Deadline-Ms: ([0-9]+)\r.*", "$1");
    assertTrue(Integer.parseInt(millis) <= 985, request);
  }

  @Test
  void sendsContinueToCallersThatExpectItBeforeTheBody() throws Exception {
    caller.send(
        "POST /shop/a HTTP/1.1\r\n" + KEYED + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n");

    String interim = caller.response();
    String response = caller.send("abc").response();

    assertTrue(interim.startsWith("HTTP/1.1 100"), interim);
    assertTrue(response.startsWith("HTTP/1.1 200"), response);
  }

  @Test
  void matchesRoutesOnTheDecodedPath() throws Exception {
    String response = caller.send("GET /shop/%6fpen HTTP/1.1\r\nHost: t\r\n\r\n").response();

    assertTrue(response.startsWith("HTTP/1.1 200"), response);
  }
}
