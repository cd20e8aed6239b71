package org.toucanrack.internal.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.protocol.generated.VerdictCode;

/** Guards the path from a caller via the owner to a backend server and back. */
class TrafficServerTest {

  @Test
  void returnsTheResponseOfTheOwnedBackendServer() throws Exception {
    try (RawBackend backend = new RawBackend(RawBackend.ok("hello"));
        TrafficFixture fixture = TrafficFixture.start(backend);
        RawCaller caller = fixture.caller()) {

      String response = caller.send(TrafficFixture.get("/shop/items?a=1")).response();

      assertTrue(response.startsWith("HTTP/1.1 200"), response);
      assertTrue(response.endsWith("hello"), response);
      assertTrue(response.toLowerCase().contains("toucanrack-verdict: ran"), response);
      assertTrue(backend.requests().get(0).startsWith("GET /items?a=1 HTTP/1.1"));
    }
  }

  @Test
  void forwardsToTheOwnerInAnotherFailureDomain() throws Exception {
    try (TrafficFixture fixture =
            TrafficFixture.start(
                java.time.Duration.ofSeconds(3),
                java.util.List.of(TrafficFixture.server("b0", TrafficFixture.REMOTE_DOMAIN, 9)),
                TrafficFixture.settings());
        RawCaller caller = fixture.caller()) {
      ForwardAnswer answer =
          ForwardAnswer.newBuilder()
              .setVerdict(VerdictCode.VERDICT_RAN)
              .setStatus(200)
              .setBody(ByteString.copyFromUtf8("far"))
              .build();
      fixture.peers.responder =
          request ->
              CompletableFuture.completedFuture(
                  PeerEnvelope.newBuilder().setForwardAnswer(answer).build());

      String response = caller.send(TrafficFixture.get("/shop/items")).response();

      assertTrue(response.endsWith("far"), response);
      assertEquals("acme", fixture.peers.requested.get(0).getForwardRequest().getCustomer());
    }
  }

  @Test
  void refusesUnknownKeysAsNotRun() throws Exception {
    try (RawBackend backend = new RawBackend(RawBackend.ok("hello"));
        TrafficFixture fixture = TrafficFixture.start(backend);
        RawCaller caller = fixture.caller()) {

      String response =
          caller.send("GET /shop/items HTTP/1.1\r\nHost: t\r\nX-Api-Key: wrong\r\n\r\n").response();

      assertTrue(response.startsWith("HTTP/1.1 401"), response);
      assertTrue(response.contains("\"verdict\":\"not-run\""), response);
      assertEquals(0, backend.requests().size());
    }
  }
}
