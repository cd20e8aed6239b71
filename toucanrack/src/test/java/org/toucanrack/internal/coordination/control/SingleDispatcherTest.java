package org.toucanrack.internal.coordination.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SingleDispatcherTest {

  private static final int SERVERS = 9;

  /**
   * Guards against two VMs that may dispatch to the same backend server, over random pauses,
   * losses, restarts, store outages, lost answers, drains and configuration changes. {@link
   * FakeWorld} checks this after each event. Each run ends with a period without faults, after
   * which all servers have to be usable again.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void atMostOneVmMayDispatchToEachServer(long seed) {
    run(seed, 150);
  }

  static void run(long seed, int steps) {
    FakeWorld world = new FakeWorld(seed);
    world.store.accept(1, FakeConfiguration.body(SERVERS));
    for (int i = 1; i <= 4; i++) {
      world.start("vm-" + i, i, "alpha", "10.0.0." + i + ":1");
    }
    world.runSeconds(20);
    Random random = new Random(seed);
    for (int i = 0; i < steps; i++) {
      injectFault(world, random, 100 + i);
      world.runSeconds(0.1 + 3 * random.nextDouble());
    }
    recover(world);
    long usable = world.vms.stream().filter(FakeVm::runs).mapToLong(FakeVm::serversUsable).sum();
    assertEquals(SERVERS, usable, "servers in use after recovery, seed " + seed);
  }

  private static void injectFault(FakeWorld world, Random random, long incarnation) {
    List<FakeVm> running = world.vms.stream().filter(FakeVm::runs).toList();
    if (running.size() < 2) {
      return;
    }
    FakeVm vm = running.get(random.nextInt(running.size()));
    switch (random.nextInt(8)) {
      case 0, 1, 2 -> pause(world, vm, random);
      case 3, 4 -> outage(world, random);
      case 5 -> replace(world, vm, incarnation);
      case 6 -> {
        world.loseAnswers(0.5);
        world.later(5, () -> world.loseAnswers(0));
      }
      default -> drain(world, vm, incarnation);
    }
  }

  private static void pause(FakeWorld world, FakeVm vm, Random random) {
    world.pause(vm);
    world.later(1 + 20 * random.nextDouble(), () -> world.resume(vm));
  }

  private static void outage(FakeWorld world, Random random) {
    world.storeDown(true);
    world.later(3 + 30 * random.nextDouble(), () -> world.storeDown(false));
  }

  /** Kills a VM and starts its replacement at the same or at another address. */
  private static void replace(FakeWorld world, FakeVm vm, long incarnation) {
    long running = world.vms.stream().filter(FakeVm::runs).count();
    if (running > 2 && vm.runs()) {
      world.kill(vm);
      String address =
          incarnation % 2 == 0 ? vm.member.peersAddress() : "10.0.1." + incarnation + ":1";
      String peer =
          world.vms.stream().filter(FakeVm::runs).findFirst().orElseThrow().member.peersAddress();
      world.start(vm.member.incarnation().vm().value(), incarnation, "alpha", address, peer);
    }
  }

  private static void drain(FakeWorld world, FakeVm vm, long incarnation) {
    world.deliver(vm, new ControlEvent.DrainRequested());
    world.later(25, () -> replace(world, vm, incarnation));
  }

  private static void recover(FakeWorld world) {
    world.storeDown(false);
    world.loseAnswers(0);
    world.vms.stream().filter(vm -> vm.alive && vm.paused).forEach(world::resume);
    world.start("calm", 9_999, "alpha", "10.0.2.1:1");
    world.runSeconds(90);
  }
}
