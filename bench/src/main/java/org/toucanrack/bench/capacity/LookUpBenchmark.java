package org.toucanrack.bench.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Random;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.coordination.routing.ClientBlocks;
import org.toucanrack.internal.coordination.routing.LookUpOrder;
import org.toucanrack.internal.coordination.routing.RoutingIndex;
import org.toucanrack.internal.state.ControlSnapshot;

/**
 * Look-up answers and the routing index behind them, by number of entry VMs, backend servers,
 * services and failure domains. Answers are built as on the callers' port, but without HTTP.
 */
final class LookUpBenchmark implements ScalingBenchmark {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int FAILURE_DOMAINS = 47;

  @Override
  public void measure(Scale scale, FigureRecorder figures) {
    // Warm-up: the first figures would otherwise include time in interpreted code.
    measure(new FigureRecorder(scale), "warm-up", 1, new Fleet(FAILURE_DOMAINS, 1, 50, 50, 10, 10));
    for (int members : new int[] {16, 32, 64}) {
      Fleet fleet =
          new Fleet(FAILURE_DOMAINS, scale.sizeFor(members), 50, scale.sizeFor(1_000), 10, 10);
      measure(figures, "entry VMs", FAILURE_DOMAINS * scale.sizeFor(members), fleet);
    }
    for (int servers : new int[] {250, 1_000, 4_000}) {
      Fleet fleet =
          new Fleet(FAILURE_DOMAINS, scale.sizeFor(64), 50, scale.sizeFor(servers), 10, 10);
      measure(figures, "backend servers", scale.sizeFor(servers), fleet);
    }
    for (int services : new int[] {12, 50, 200}) {
      Fleet fleet =
          new Fleet(FAILURE_DOMAINS, scale.sizeFor(64), services, scale.sizeFor(1_000), 10, 10);
      measure(figures, "services", services, fleet);
    }
    for (int domains : new int[] {12, 24, 47}) {
      Fleet fleet = new Fleet(domains, scale.sizeFor(64), 50, scale.sizeFor(1_000), 10, 10);
      measure(figures, "failure domains", domains, fleet);
    }
  }

  private static void measure(FigureRecorder figures, String axis, long size, Fleet fleet) {
    ControlSnapshot snapshot = fleet.snapshot();
    FigureRecorder.Point point = figures.pointAt("look-up", axis, size);
    point.measureCpu("routing index build", () -> new RoutingIndex(snapshot));
    RoutingIndex index = new RoutingIndex(snapshot);
    ClientBlocks blocks = new ClientBlocks(ClientBlocksBenchmark.randomBlocks(10_000));
    FailureDomainId ownDomain = fleet.self().failureDomain();
    Random random = new Random(3);
    point.addExact("answer", "B", answer(index, blocks, ownDomain, 1).length());
    point.measureCpu("answer", () -> answer(index, blocks, ownDomain, random.nextInt()));
  }

  private static String answer(
      RoutingIndex index, ClientBlocks blocks, FailureDomainId ownDomain, int address) {
    ServiceId service = Fleet.serviceId(0);
    List<FailureDomainId> preferred = blocks.find(address).orElse(List.of());
    ObjectNode body = JSON.createObjectNode();
    body.put("service", service.value());
    body.put("ttlSeconds", 10);
    String client = Integer.toUnsignedString(address);
    LookUpOrder.addresses(index, service, preferred, ownDomain, client)
        .forEach(body.putArray("entries")::add);
    return body.toString();
  }
}
