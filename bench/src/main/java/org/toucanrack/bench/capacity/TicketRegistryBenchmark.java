package org.toucanrack.bench.capacity;

import org.toucanrack.Verdict;
import org.toucanrack.internal.coordination.ticket.TicketId;
import org.toucanrack.internal.coordination.ticket.TicketRegistry;

/** Memory of used tickets with a stored answer, and CPU time of issuing and using a ticket. */
final class TicketRegistryBenchmark implements ScalingBenchmark {

  private static final int ANSWER_BYTES = 256;

  @Override
  public void measure(Scale scale, FigureRecorder figures) {
    for (int tickets : new int[] {10_000, 20_000, 40_000}) {
      int size = scale.sizeFor(tickets);
      FigureRecorder.Point point = figures.pointAt("tickets", "used tickets", size);
      point.measureRetainedHeap(
          "register with answers of 256 B", () -> registryOfUsedTickets(size));
      TicketRegistry<byte[]> registry = emptyRegistry();
      point.measureCpu("issue", () -> registry.issue(0));
    }
    TicketRegistry<byte[]> registry = emptyRegistry();
    FigureRecorder.Point point = figures.pointAt("tickets", "one", 1);
    String unused = registry.issue(0);
    point.addExact("ticket", "B", unused.length());
    point.measureCpu("issue, use and not run", () -> issueAndUseWithoutRun(registry));
  }

  private static TicketRegistry<byte[]> emptyRegistry() {
    Fleet fleet = new Fleet(1, 1, 1, 1, 1, 1);
    return new TicketRegistry<>(
        fleet.self().incarnation(), new byte[32], answer -> answer.length, 0);
  }

  private static TicketRegistry<byte[]> registryOfUsedTickets(int tickets) {
    TicketRegistry<byte[]> registry = emptyRegistry();
    for (int i = 0; i < tickets; i++) {
      TicketId ticket = TicketId.parse(registry.issue(0)).orElseThrow();
      registry.use(ticket, "customer-1 POST /service-1/path-1 " + i, 0);
      registry.complete(ticket, Verdict.RAN, new byte[ANSWER_BYTES]);
    }
    return registry;
  }

  private static void issueAndUseWithoutRun(TicketRegistry<byte[]> registry) {
    TicketId ticket = TicketId.parse(registry.issue(0)).orElseThrow();
    registry.use(ticket, "request", 0);
    registry.complete(ticket, Verdict.NOT_RUN, new byte[0]);
  }
}
