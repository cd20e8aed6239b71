package org.toucanrack.internal.coordination.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ControlCoreTest {

  /** Guards against resources without owner and against owners that cannot dispatch. */
  @Test
  void threeMembersShareAllServersAndAreReady() {
    FakeWorld world = new FakeWorld(1);
    world.store.accept(1, FakeConfiguration.body(12));

    world.start("a", 1, "alpha", "10.0.0.1:1");
    world.start("b", 2, "alpha", "10.0.0.2:1");
    world.start("c", 3, "alpha", "10.0.0.3:1");
    world.runSeconds(40);

    for (FakeVm vm : world.vms) {
      assertTrue(vm.snapshot.ready());
      assertEquals(4, vm.serversUsable(), vm.member.toString());
      assertEquals(12, vm.snapshot.ownership().backendServers().size());
      assertEquals(world.vms.get(0).snapshot.ownership(), vm.snapshot.ownership());
    }
  }
}
