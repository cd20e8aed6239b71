package org.toucanrack.internal.coordination.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.toucanrack.id.BackendServerId;

class ControlFailureTest {

  private static final int SERVERS = 12;

  private final FakeWorld world = new FakeWorld(7);

  private FakeVm vm(int index) {
    return world.vms.get(index);
  }

  private void startDomain(String domain, int members, int firstIncarnation) {
    for (int i = 0; i < members; i++) {
      int id = firstIncarnation + i;
      world.start(domain + "-vm" + i, id, domain, "10.0.0." + id + ":1", "10.0.0.1:1");
    }
  }

  private void startStable(int members) {
    world.store.accept(1, FakeConfiguration.body(SERVERS));
    startDomain("alpha", members, 1);
    world.runSeconds(40);
    assertEquals(SERVERS, usable());
  }

  private long usable() {
    return world.vms.stream().filter(FakeVm::runs).mapToLong(FakeVm::serversUsable).sum();
  }

  /**
   * Guards against a refused write that a relay treats as the stored row: two owners of one server.
   */
  @Test
  void concurrentRelaysLeaveOneRow() {
    world.store.accept(1, FakeConfiguration.body(SERVERS));

    startDomain("alpha", 2, 1);
    world.runSeconds(30);

    assertEquals(2, world.row("alpha").members().size());
    assertEquals(SERVERS, usable());
  }

  /** Guards against owners that stop while the store is down although nobody can take over. */
  @Test
  void storeDownForTenMinutesWithPeersKeepsAllServersInUse() {
    startStable(3);

    world.storeDown(true);

    for (int second = 0; second < 600; second++) {
      world.runSeconds(1);
      assertEquals(SERVERS, usable(), "second " + second);
    }
    world.storeDown(false);
    world.runSeconds(20);
    assertEquals(SERVERS, usable());
    assertFalse(vm(0).snapshot.lease().isolated());
  }

  /** Guards against takeovers without the store, and against a sole remaining owner that stops. */
  @Test
  void storeDownWithoutPeersKeepsTheOwnServersOnly() {
    startStable(2);
    world.storeDown(true);
    world.runSeconds(30);

    world.kill(vm(1));

    for (int second = 0; second < 600; second++) {
      world.runSeconds(1);
      assertEquals(SERVERS / 2, vm(0).serversUsable(), "second " + second);
    }
    world.storeDown(false);
    world.runSeconds(40);
    assertEquals(SERVERS, vm(0).serversUsable());
  }

  /** Guards against an owner that dispatches based on peer answers from before its pause. */
  @Test
  void isolatedOwnerIsFencedAfterPauseUntilPeersAnswer() {
    startStable(2);
    world.storeDown(true);
    world.runSeconds(60);
    world.pause(vm(0));
    world.runSeconds(3);
    final long before = vm(0).serversUsable();

    world.resume(vm(0));
    long afterResume = vm(0).serversUsable();
    world.runSeconds(8);

    assertEquals(0, before);
    assertEquals(0, afterResume);
    assertEquals(SERVERS, usable());
  }

  /** Guards against an owner that resumes use of resources taken over during its pause. */
  @Test
  void pausedOwnerDoesNotUseResourcesTakenOverMeanwhile() {
    startStable(2);
    final List<BackendServerId> ownedBeforePause =
        List.copyOf(vm(0).snapshot.usable().backendServers().keySet());

    world.pause(vm(0));
    world.runSeconds(40);
    world.resume(vm(0));
    boolean afterResume =
        ownedBeforePause.stream()
            .anyMatch(server -> vm(0).snapshot.mayDispatchTo(server, world.now()));
    world.runSeconds(60);

    assertFalse(afterResume);
    assertEquals(SERVERS / 2, vm(0).serversUsable());
    assertEquals(SERVERS, usable());
  }

  /** Guards against a snapshot from before a pause that still permits dispatch after it. */
  @Test
  void snapshotPublishedBeforePauseDoesNotPermitDispatchAfterwards() {
    startStable(1);
    long stepStartedAt = world.now();

    world.deliver(vm(0), new ControlEvent.Tick());
    long resumedAt = stepStartedAt + 3 * FakeWorld.NANOS_PER_SECOND;

    assertTrue(vm(0).snapshot.lease().permitsDispatch(stepStartedAt));
    assertFalse(vm(0).snapshot.lease().permitsDispatch(resumedAt));
  }

  /** Guards against resources that stay assigned to an incarnation that has ended. */
  @Test
  void memberReplacedAtAnotherAddressLosesItsOldResourcesOnce() {
    startStable(3);
    FakeVm old = vm(1);

    world.kill(old);
    String name = old.member.incarnation().vm().value();
    world.start(name, 77, "alpha", "10.0.9.9:1", "10.0.0.1:1");
    world.runSeconds(5);
    final long shortlyAfter = world.row("alpha").countOwnedBy(old.member.incarnation());
    world.runSeconds(60);

    assertTrue(shortlyAfter > 0);
    assertTrue(world.row("alpha").member(old.member.incarnation()).isEmpty());
    assertEquals(SERVERS, usable());
    assertEquals(SERVERS / 3, vm(3).serversUsable());
  }

  /** Guards against a lost relay and a lost member that block each other's takeover. */
  @Test
  void resourcesOfTwoOwnersThatFailTogetherAreTakenOver() {
    startStable(4);

    world.kill(vm(0));
    world.kill(vm(1));
    while (world.row("alpha").members().size() > 2) {
      world.runSeconds(0.1);
    }
    world.runSeconds(3);
    final long usableInQuarantine = usable();
    world.runSeconds(30);

    assertEquals(SERVERS / 2, usableInQuarantine);
    assertEquals(SERVERS, usable());
    assertEquals(2, world.row("alpha").members().size());
  }

  /** Guards against versions that revert, and against keys that count as fresh in a partition. */
  @Test
  void domainThatIsCutOffKeepsItsVersionAndCatchesUpAfterwards() {
    world.store.accept(1, FakeConfiguration.body(SERVERS));
    startDomain("alpha", 2, 1);
    startDomain("beta", 2, 11);
    world.runSeconds(40);
    world.cutFromStore("alpha", true);
    world.domainsPartitioned(true);

    world.store.accept(2, FakeConfiguration.body(SERVERS));
    world.runSeconds(60);

    assertEquals(1, version(vm(0)));
    assertEquals(2, version(vm(2)));
    assertEquals(2, version(vm(3)));
    assertTrue(proofAgeSeconds(vm(0)) > 55);
    assertTrue(proofAgeSeconds(vm(3)) < 4);
    assertEquals(2 * SERVERS, usable());
    world.cutFromStore("alpha", false);
    world.domainsPartitioned(false);
    world.runSeconds(15);
    assertEquals(2, version(vm(0)));
    assertEquals(2, version(vm(1)));
    assertTrue(proofAgeSeconds(vm(1)) < 4);
  }

  /** Guards against configurations and proofs that are not forwarded between peers. */
  @Test
  void domainWithoutStoreAdoptsVersionsAndProofsFromOtherDomains() {
    world.store.accept(1, FakeConfiguration.body(SERVERS));
    startDomain("alpha", 2, 1);
    startDomain("beta", 2, 11);
    world.runSeconds(40);
    world.cutFromStore("alpha", true);

    world.store.accept(2, FakeConfiguration.body(SERVERS + 1));
    world.runSeconds(15);

    for (FakeVm vm : world.vms) {
      assertEquals(2, version(vm), vm.member.toString());
      assertTrue(proofAgeSeconds(vm) < 4, vm.member + " " + proofAgeSeconds(vm));
    }
  }

  /** Guards against a VM that takes traffic with an old configuration or with none. */
  @Test
  void startWithStoreDownIsReadyOnlyWithThePeersVersion() {
    startStable(2);
    world.storeDown(true);

    FakeVm alone = world.start("lone", 70, "alpha", "10.0.7.0:1", "10.0.7.7:1");
    FakeVm joined = world.start("new", 71, "alpha", "10.0.7.1:1", "10.0.0.1:1", "10.0.0.2:1");
    world.runSeconds(20);

    assertFalse(alone.snapshot.ready());
    assertTrue(joined.snapshot.ready());
    assertEquals(1, version(joined));
    assertEquals(3, joined.snapshot.members().size());
    assertEquals(0, joined.serversUsable());
  }

  /** Guards against a planned stop that leaves servers unassigned or aborts requests. */
  @Test
  void drainHandsAllServersOver() {
    startStable(3);

    world.deliver(vm(0), new ControlEvent.DrainRequested());
    world.runSeconds(60);

    assertTrue(vm(0).core.isDrained());
    assertEquals(0, world.row("alpha").countOwnedBy(vm(0).member.incarnation()));
    assertEquals(SERVERS, usable());
  }

  /** Guards against operators' drains, moves and rollouts that do not reach all members. */
  @Test
  void recordsOfOperatorsReachMembersOfAllDomains() {
    startStable(3);

    world.store.put("drain/vm/alpha-vm2", "{}");
    world.store.put("move/m1", "{\"cap\":0.1}");
    world.runSeconds(60);

    for (FakeVm vm : world.vms) {
      assertEquals(1, vm.core.records("move/").size());
    }
    assertEquals(0, vm(2).serversUsable());
    assertEquals(SERVERS, usable());
  }

  private static long version(FakeVm vm) {
    return vm.snapshot.configuration().orElseThrow().version();
  }

  private double proofAgeSeconds(FakeVm vm) {
    return vm.snapshot.keyFreshness().ageNanos(world.now()) / 1e9;
  }
}
