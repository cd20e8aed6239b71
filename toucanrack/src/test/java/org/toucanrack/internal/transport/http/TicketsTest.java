package org.toucanrack.internal.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.transport.peer.PeerCallException;

/** Guards requests with tickets against a second run. */
class TicketsTest {

  private static String order(String body, String ticket) {
    return TrafficFixture.post("/shop/order", body)
        .replace("Host: t", "Host: t\r\nToucanrack-Ticket: " + ticket);
  }

  private static String issue(RawCaller caller) throws Exception {
    String response =
        caller
            .send("POST /_toucanrack/tickets HTTP/1.1\r\nHost: t\r\nContent-Length: 2\r\n\r\n{}")
            .response();
    return response.replaceAll("(?s).*\"ticket\":\"([^\"]+)\".*", "$1");
  }

  @Test
  void answersRepeatsWithTheStoredOutcomeAndWaitsForTheRunningFirstUse() throws Exception {
    AtomicInteger orders = new AtomicInteger();
    RawBackend.Script slow =
        (request, connection, number) -> {
          Thread.sleep(300);
          RawBackend.write(connection, RawBackend.okResponse("order" + orders.incrementAndGet()));
        };
    try (RawBackend backend = new RawBackend(slow);
        TrafficFixture fixture = TrafficFixture.start(backend);
        RawCaller caller = fixture.caller();
        RawCaller repeating = fixture.caller()) {
      String ticket = issue(caller);

      caller.send(order("x", ticket));
      Thread.sleep(100);
      String repeat = repeating.send(order("x", ticket)).response();
      String first = caller.response();
      String later = repeating.send(order("x", ticket)).response();
      String other = repeating.send(order("y", ticket)).response();

      assertTrue(first.endsWith("order1") && repeat.endsWith("order1"), repeat);
      assertTrue(later.endsWith("order1"), later);
      assertTrue(other.startsWith("HTTP/1.1 409"), other);
      assertEquals(1, backend.requests().size());
    }
  }

  @Test
  void allowsTicketReuseOnlyAfterNotRun() throws Exception {
    RawBackend.Script shedThenReset =
        (request, connection, number) -> {
          if (request.endsWith("shed")) {
            RawBackend.write(
                connection,
                "HTTP/1.1 503 Busy\r\nToucanrack-Shed: not-run\r\nContent-Length: 0\r\n\r\n");
          } else {
            connection.close();
          }
        };
    try (RawBackend backend = new RawBackend(shedThenReset);
        TrafficFixture fixture = TrafficFixture.start(backend);
        RawCaller caller = fixture.caller()) {
      String ticket = issue(caller);

      String shed = caller.send(order("shed", ticket)).response();
      int afterShed = backend.requests().size();
      String lost = caller.send(order("lost", ticket)).response();
      String repeat = caller.send(order("lost", ticket)).response();

      assertTrue(shed.contains("\"verdict\":\"not-run\""), shed);
      assertTrue(lost.contains("may-have-run") && repeat.contains("may-have-run"), repeat);
      assertEquals(afterShed + 1, backend.requests().size());
    }
  }

  @Test
  void neverRunsTicketsOfAnotherIncarnationOrForgedOnes() throws Exception {
    try (RawBackend backend = new RawBackend(RawBackend.ok("hello"));
        TrafficFixture fixture = TrafficFixture.start(backend);
        RawCaller caller = fixture.caller()) {
      String ticket = issue(caller);

      String gone = caller.send(order("x", ticket.replace("vm1.7.", "vm1.6."))).response();
      String forged = caller.send(order("x", ticket.replace("vm1.7.", "vm1.7.1"))).response();

      assertTrue(gone.contains("TICKET_HOME_LOST") && gone.contains("may-have-run"), gone);
      assertTrue(forged.contains("TICKET_UNKNOWN"), forged);
      assertEquals(0, backend.requests().size());
    }
  }

  @Test
  void forwardsTicketsToTheirIssuerAndReportsMayHaveRunIfItIsUnreachable() throws Exception {
    try (RawBackend backend = new RawBackend(RawBackend.ok("hello"));
        TrafficFixture fixture = TrafficFixture.start(backend);
        RawCaller caller = fixture.caller()) {
      fixture.peers.responder =
          request -> CompletableFuture.failedFuture(new PeerCallException("refused", false, null));

      String response = caller.send(order("x", "vm2.8.1.abc")).response();

      PeerEnvelope sent = fixture.peers.requested.get(0);
      assertEquals("vm2.8.1.abc", sent.getForwardRequest().getTicket());
      assertTrue(response.contains("may-have-run"), response);
      assertEquals(0, backend.requests().size());
    }
  }
}
