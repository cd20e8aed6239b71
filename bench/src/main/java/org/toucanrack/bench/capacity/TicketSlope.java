package org.toucanrack.bench.capacity;

import org.toucanrack.Verdict;
import org.toucanrack.internal.coordination.ticket.TicketId;
import org.toucanrack.internal.coordination.ticket.TicketRegistry;

/** Memory of used tickets with a stored answer, and CPU of a ticket's life. */
final class TicketSlope implements Slope {

  private static final int ANSWER_BYTES = 256;

  @Override
  public void measure(Scale scale, Figures figures) {
    for (int tickets : new int[] {10_000, 20_000, 40_000}) {
      int size = scale.of(tickets);
      Figures.At at = figures.at("tickets", "used tickets", size);
      at.retained("register with answers of 256 B", () -> used(size));
      TicketRegistry<byte[]> register = empty();
      at.cpu("issue", () -> register.issue(0));
    }
    TicketRegistry<byte[]> register = empty();
    Figures.At at = figures.at("tickets", "one", 1);
    String unused = register.issue(0);
    at.exact("ticket", "B", unused.length());
    at.cpu("issue, use and not run", () -> useWithoutRun(register));
  }

  private static TicketRegistry<byte[]> empty() {
    Fleet fleet = new Fleet(1, 1, 1, 1, 1, 1);
    return new TicketRegistry<>(
        fleet.self().incarnation(), new byte[32], answer -> answer.length, 0);
  }

  private static TicketRegistry<byte[]> used(int tickets) {
    TicketRegistry<byte[]> register = empty();
    for (int i = 0; i < tickets; i++) {
      TicketId ticket = TicketId.parse(register.issue(0)).orElseThrow();
      register.use(ticket, "customer-1 POST /service-1/path-1 " + i, 0);
      register.complete(ticket, Verdict.RAN, new byte[ANSWER_BYTES]);
    }
    return register;
  }

  private static void useWithoutRun(TicketRegistry<byte[]> register) {
    TicketId ticket = TicketId.parse(register.issue(0)).orElseThrow();
    register.use(ticket, "request", 0);
    register.complete(ticket, Verdict.NOT_RUN, new byte[0]);
  }
}
