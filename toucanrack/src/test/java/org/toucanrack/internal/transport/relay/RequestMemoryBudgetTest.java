package org.toucanrack.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RequestMemoryBudgetTest {

  private static final long LIMIT_BYTES = 1_000_000;

  private final RequestMemoryBudget budget = new RequestMemoryBudget(LIMIT_BYTES);

  // Guards against uploads that leave no memory for other requests.
  @Test
  void largeBodiesLeavePartOfTheBudgetToSmallOnes() {
    assertTrue(budget.tryReserve(0, 700_000));
    assertFalse(budget.tryReserve(0, 70_000));
    assertTrue(budget.tryReserve(0, RequestMemoryBudget.SMALL_BYTES));
  }

  // Guards against uploads that are refused for lack of memory while servers are free: a burst of
  // 30
  // uploads a second of 360 kB, each answered after a second, with as many again waiting for a
  // slot.
  @Test
  void burstOfUploadsFitsIntoTheHeapOfAnEntryVm() {
    RequestMemoryBudget ofEntryVm = ListenerBudgets.ofCallers(96L * 1024 * 1024).requests();

    for (int i = 0; i < 45; i++) {
      assertTrue(ofEntryVm.tryReserve(0, 360_000), "upload " + i);
    }
  }

  // Guards against a growing body that is counted twice, or that keeps its memory.
  @Test
  void growingBodiesReplaceTheirReservation() {
    assertTrue(budget.tryReserve(0, 300_000));
    assertTrue(budget.tryReserve(300_000, 700_000));
    assertFalse(budget.tryReserve(700_000, 800_000));
    assertEquals(700_000, budget.usedBytes());

    budget.release(700_000);

    assertEquals(0, budget.usedBytes());
  }
}
