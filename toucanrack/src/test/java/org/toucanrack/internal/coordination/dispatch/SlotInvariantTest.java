package org.toucanrack.internal.coordination.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.toucanrack.internal.coordination.dispatch.DispatchFixture.NANOS_PER_MILLISECOND;
import static org.toucanrack.internal.coordination.dispatch.DispatchFixture.request;
import static org.toucanrack.internal.coordination.dispatch.DispatchFixture.server;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.toucanrack.ErrorCode;

/** Guards against grants beyond the slots and lost or repeated decisions in any order of calls. */
class SlotInvariantTest {

  private static final int SLOTS = 2;
  private static final int STEPS = 300;

  private Map<String, Integer> decisions;
  private List<SlotGrant> running;
  private FairSlotDispatcher dispatcher;

  @Property(tries = 200)
  void grantsStayWithinSlotsAndEachRequestIsDecidedOnce(@ForAll long seed) {
    decisions = new HashMap<>();
    running = new ArrayList<>();
    dispatcher = new FairSlotDispatcher(6, now -> true);
    Random random = new Random(seed);
    long now = 0;
    int submitted = 0;

    for (int step = 0; step < STEPS; step++) {
      now += random.nextInt(5) * NANOS_PER_MILLISECOND;
      switch (random.nextInt(5)) {
        case 0 -> updateServers(random, now);
        case 1 -> releaseOne(random, now);
        case 2 -> dispatcher.cancel("r" + random.nextInt(submitted + 1), now);
        case 3 -> dispatcher.expire(now);
        default -> submit("r" + submitted++, random, now);
      }
      assertWithinSlots();
    }
    dispatcher.update(List.of(), now);

    assertEquals(submitted, decisions.size());
    assertTrue(decisions.values().stream().allMatch(count -> count == 1));
  }

  private void updateServers(Random random, long now) {
    List<OwnedServer> owned = new ArrayList<>();
    for (String id : List.of("one", "two", "three")) {
      if (random.nextInt(4) > 0) {
        owned.add(server(id, SLOTS));
      }
    }
    dispatcher.update(owned, now);
  }

  private void releaseOne(Random random, long now) {
    if (!running.isEmpty()) {
      SlotGrant grant = running.remove(random.nextInt(running.size()));
      SlotOutcome[] outcomes = SlotOutcome.values();
      dispatcher.release(grant, outcomes[random.nextInt(outcomes.length)], now);
    }
  }

  private void submit(String id, Random random, long now) {
    SlotListener listener =
        new SlotListener() {
          @Override
          public void granted(SlotGrant grant) {
            decisions.merge(id, 1, Integer::sum);
            running.add(grant);
          }

          @Override
          public void refused(ErrorCode code, String reason) {
            decisions.merge(id, 1, Integer::sum);
          }
        };
    String customer = "c" + random.nextInt(3);
    dispatcher.submit(
        request(
            id, customer, 1 + random.nextInt(3), now + random.nextInt(40) * NANOS_PER_MILLISECOND),
        listener,
        now);
  }

  private void assertWithinSlots() {
    Map<String, Integer> perServer = new HashMap<>();
    running.forEach(grant -> perServer.merge(grant.server().id().value(), 1, Integer::sum));
    assertTrue(perServer.values().stream().allMatch(count -> count <= SLOTS), "" + perServer);
  }
}
