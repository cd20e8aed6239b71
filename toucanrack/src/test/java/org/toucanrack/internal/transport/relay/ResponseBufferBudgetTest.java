package org.toucanrack.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ResponseBufferBudgetTest {

  private static final long LIMIT_BYTES = 1_000_000;
  private static final long READ_BYTES = 4_096;
  private static final long SHORT_RESPONSE_BYTES = 30_000;

  // Guards against many concurrent endless responses that exhaust the memory or cause short
  // responses to be aborted.
  @Test
  void manyEndlessResponsesLeaveRoomForShortOnes() {
    ResponseBufferBudget budget = new ResponseBufferBudget(LIMIT_BYTES);
    long[] held = new long[20];
    for (int round = 0; round < 1000; round++) {
      for (int i = 0; i < held.length; i++) {
        boolean allowed = budget.update(held[i], held[i] + READ_BYTES);
        held[i] += READ_BYTES;
        if (!allowed) {
          budget.update(held[i], 0);
          held[i] = 0;
        }
      }

      assertTrue(budget.usedBytes() <= LIMIT_BYTES, "held " + budget.usedBytes());
      assertTrue(budget.update(0, SHORT_RESPONSE_BYTES), "held " + budget.usedBytes());
      budget.update(SHORT_RESPONSE_BYTES, 0);
    }
  }

  // Guards against a budget that still counts finished responses.
  @Test
  void finishedResponsesReleaseTheirBytes() {
    ResponseBufferBudget budget = new ResponseBufferBudget(LIMIT_BYTES);
    for (int i = 0; i < 1000; i++) {
      assertTrue(budget.update(0, LIMIT_BYTES / 10));
      budget.update(LIMIT_BYTES / 10, 0);
    }

    assertFalse(budget.update(0, LIMIT_BYTES));
  }
}
