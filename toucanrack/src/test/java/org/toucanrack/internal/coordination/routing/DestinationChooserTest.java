package org.toucanrack.internal.coordination.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.toucanrack.ErrorCode;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.configuration.Region;
import org.toucanrack.configuration.RegionLink;
import org.toucanrack.configuration.Rules;
import org.toucanrack.configuration.ShiftRule;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.coordination.move.ShiftGate;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.state.KeyFreshness;
import org.toucanrack.internal.state.LeaseView;
import org.toucanrack.internal.state.Member;
import org.toucanrack.internal.state.Ownership;
import org.toucanrack.internal.state.TrafficSplit;

/** Guards against shifts that overload a region or its link, or that exceed the cap. */
class DestinationChooserTest {

  private static final ServiceId SHOP = new ServiceId("shop");
  private static final VersionId V1 = new VersionId("v1");
  private static final FailureDomainId OWN_DOMAIN = new FailureDomainId("a1");
  private static final FailureDomainId SAME_REGION = new FailureDomainId("a2");
  private static final FailureDomainId OTHER_REGION = new FailureDomainId("b1");
  private static final long LINK_BITS_PER_SECOND = 8_000_000;

  private final OwnerLoads loads = new OwnerLoads();
  private final LinkBudgets links = new LinkBudgets();
  private final Random random = new Random(1);
  private boolean gateOpen = true;
  private final DestinationChooser chooser =
      new DestinationChooser(loads, links, new Gate(), random::nextDouble);

  @Test
  void staysInItsFailureDomainAndOverflowsToTheNearestOnlyIntoFreeSlots() {
    RoutingIndex index = index();

    assertEquals(owner(OWN_DOMAIN, false), choose(index, Set.of(), List.of()));
    assertEquals(owner(SAME_REGION, true), choose(index, Set.of(vm(OWN_DOMAIN)), List.of()));
    assertEquals(
        owner(OTHER_REGION, true),
        choose(index, Set.of(vm(OWN_DOMAIN), vm(SAME_REGION)), List.of()));
  }

  @Test
  void refusesShiftsOverTheCap() {
    RoutingIndex index = index();
    gateOpen = false;

    Destination refused = choose(index, Set.of(vm(OWN_DOMAIN)), List.of());

    assertEquals(ErrorCode.SHIFT_CAP_REACHED, ((Destination.None) refused).code());
  }

  @Test
  void followsSplitsOfMovesWhileTheGatePermits() {
    assertEquals(0.3, movedFractionWithSplit(0.3), 0.05);
  }

  /** A random choice alone could shift more than the cap's fraction in a short window. */
  @Test
  void keepsTrafficOfSplitInItsFailureDomainWhenTheGateRefuses() {
    gateOpen = false;

    assertEquals(0, movedFractionWithSplit(0.3));
    List<TrafficSplit> splits =
        List.of(new TrafficSplit(SHOP, OWN_DOMAIN, Map.of(SAME_REGION, 1.0)));
    assertEquals(owner(OWN_DOMAIN, false), choose(index(), Set.of(), splits));
  }

  private double movedFractionWithSplit(double fraction) {
    RoutingIndex index = index();
    List<TrafficSplit> splits =
        List.of(new TrafficSplit(SHOP, OWN_DOMAIN, Map.of(SAME_REGION, fraction)));
    long moved =
        random
            .doubles(2000)
            .mapToObj(point -> choose(index, Set.of(), splits))
            .filter(owner(SAME_REGION, false)::equals)
            .count();
    return moved / 2000.0;
  }

  @Test
  void keepsCrossRegionTrafficWithinTheShareOfTheLink() {
    RoutingIndex index = index();
    int sentBytes = 0;
    for (int i = 0; i < 1000; i++) {
      RoutingRequest request =
          new RoutingRequest(
              SHOP, V1, 10_000, Set.of(vm(OWN_DOMAIN), vm(SAME_REGION)), i * 1_000_000L);
      if (chooser.choose(request, index, List.of(), OWN_DOMAIN) instanceof Destination.Owner) {
        sentBytes += 10_000;
      }
    }

    long capacityOfOneSecond = LINK_BITS_PER_SECOND / 8;
    assertTrue(sentBytes > 100_000 && sentBytes < capacityOfOneSecond / 2, sentBytes + " bytes");
  }

  @Test
  void avoidsOwnersThatRefusedAndPrefersTheLessLoaded() {
    RoutingIndex index = index();
    loads.requestStarted(vm(OWN_DOMAIN), SHOP);
    loads.requestEnded(vm(OWN_DOMAIN), SHOP, ErrorCode.OWNER_UNREACHABLE, 0);

    assertEquals(owner(SAME_REGION, true), choose(index, Set.of(), List.of()));
  }

  private Destination choose(
      RoutingIndex index, Set<Incarnation> excluded, List<TrafficSplit> splits) {
    return chooser.choose(new RoutingRequest(SHOP, V1, 0, excluded, 0), index, splits, OWN_DOMAIN);
  }

  private Destination owner(FailureDomainId domain, boolean onlyIfFree) {
    return new Destination.Owner(member(domain), onlyIfFree);
  }

  private RoutingIndex index() {
    Map<Incarnation, Member> members = new HashMap<>();
    Map<BackendServerId, Incarnation> owners = new HashMap<>();
    List<FailureDomainId> domains = List.of(OWN_DOMAIN, SAME_REGION, OTHER_REGION);
    domains.forEach(domain -> members.put(vm(domain), member(domain)));
    domains.forEach(domain -> owners.put(server(domain).id(), vm(domain)));
    RegionId first = new RegionId("a");
    RegionId second = new RegionId("b");
    Deployment deployment =
        new Deployment(
            "test",
            List.of(
                new Region(first, List.of(OWN_DOMAIN, SAME_REGION)),
                new Region(second, List.of(OTHER_REGION))),
            List.of(new RegionLink(first, second, LINK_BITS_PER_SECOND)),
            List.of(),
            List.of(),
            domains.stream().map(DestinationChooserTest::server).toList(),
            List.of(),
            new Rules(
                new ShiftRule(0.1, Duration.ofSeconds(10)),
                Duration.ofSeconds(10),
                Duration.ofSeconds(4)));
    ControlSnapshot snapshot =
        new ControlSnapshot(
            member(OWN_DOMAIN),
            Optional.of(new Configuration(1, deployment, List.of())),
            members,
            new Ownership(owners, Map.of()),
            new LeaseView(0, false, 0),
            new KeyFreshness(0),
            List.of(),
            List.of(),
            true);
    RoutingIndex index = new RoutingIndex(snapshot);
    links.update(snapshot, index, 0);
    return index;
  }

  private static BackendServer server(FailureDomainId domain) {
    return new BackendServer(
        new BackendServerId("s-" + domain.value()), SHOP, V1, domain, "127.0.0.1", 1, 3, 9);
  }

  private static Incarnation vm(FailureDomainId domain) {
    return new Incarnation(new VmId("vm-" + domain.value()), 1);
  }

  private static Member member(FailureDomainId domain) {
    return new Member(vm(domain), domain, "callers", "peers", false);
  }

  private final class Gate implements ShiftGate {
    @Override
    public void recordArrival(ServiceId service, long nowNanos) {}

    @Override
    public boolean tryShift(
        ServiceId service, FailureDomainId from, FailureDomainId to, long nowNanos) {
      return gateOpen;
    }
  }
}
