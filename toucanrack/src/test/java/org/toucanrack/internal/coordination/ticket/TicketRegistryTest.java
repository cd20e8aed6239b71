package org.toucanrack.internal.coordination.ticket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.toucanrack.ErrorCode;
import org.toucanrack.Verdict;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.VmId;

/** Guards against a request that runs twice on one ticket, also after its outcome has expired. */
class TicketRegistryTest {

  private static final Incarnation SELF = new Incarnation(new VmId("vm.dotted"), 0xABC);

  private final TicketRegistry<String> registry =
      new TicketRegistry<>(SELF, new byte[] {1, 2, 3}, String::length, 0);

  private TicketId issue(long now) {
    return TicketId.parse(registry.issue(now)).orElseThrow();
  }

  @Test
  void grantsTheFirstUseToOnlyOneOfManyThreads() throws Exception {
    TicketId ticket = issue(0);
    AtomicInteger firsts = new AtomicInteger();
    ExecutorService threads = Executors.newFixedThreadPool(8);
    for (int i = 0; i < 200; i++) {
      threads.submit(
          () -> {
            if (registry.use(ticket, "f", 1) instanceof TicketUse.First) {
              firsts.incrementAndGet();
              registry.complete(ticket, Verdict.MAY_HAVE_RUN, "lost");
            }
          });
    }
    threads.shutdown();

    assertTrue(threads.awaitTermination(10, TimeUnit.SECONDS));
    assertEquals(1, firsts.get());
  }

  @Test
  void neverRunsAnExpiredTicketAgain() {
    TicketId ticket = issue(0);
    registry.use(ticket, "f", 1);
    registry.complete(ticket, Verdict.RAN, "done");
    long lastMoment = TicketRegistry.LIFETIME_NANOS;

    assertInstanceOf(TicketUse.Repeat.class, registry.use(ticket, "f", lastMoment));
    TicketUse<String> expired = registry.use(ticket, "f", 3 * TicketRegistry.LIFETIME_NANOS);
    assertEquals(Verdict.MAY_HAVE_RUN, ((TicketUse.Refused<String>) expired).verdict());
  }

  @Test
  void ticketIsUnusedAgainOnlyAfterNotRun() {
    TicketId ticket = issue(0);
    registry.use(ticket, "f", 1);
    registry.complete(ticket, Verdict.NOT_RUN, "shed");

    assertInstanceOf(TicketUse.First.class, registry.use(ticket, "other", 2));
    registry.complete(ticket, Verdict.MAY_HAVE_RUN, "lost");
    assertInstanceOf(TicketUse.Repeat.class, registry.use(ticket, "other", 3));
  }

  @Test
  void refusesForgedTicketsAndThoseOfAnotherIncarnation() {
    TicketId ticket = issue(0);
    TicketId forged = new TicketId(SELF, ticket.sequence() + 1, ticket.mac());
    TicketId earlier = new TicketId(new Incarnation(SELF.vm(), 1), 1, ticket.mac());

    assertEquals(ErrorCode.TICKET_UNKNOWN, refusal(forged).code());
    assertEquals(ErrorCode.TICKET_HOME_LOST, refusal(earlier).code());
    assertEquals(Verdict.MAY_HAVE_RUN, refusal(earlier).verdict());
  }

  private TicketUse.Refused<String> refusal(TicketId ticket) {
    return (TicketUse.Refused<String>) registry.use(ticket, "f", 1);
  }
}
