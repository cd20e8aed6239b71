package org.toucanrack.bench.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.toucanrack.ErrorCode;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.internal.coordination.dispatch.FairSlotDispatcher;
import org.toucanrack.internal.coordination.dispatch.OwnedServer;
import org.toucanrack.internal.coordination.dispatch.SlotGrant;
import org.toucanrack.internal.coordination.dispatch.SlotListener;
import org.toucanrack.internal.coordination.dispatch.SlotOutcome;
import org.toucanrack.internal.coordination.dispatch.SlotRequest;
import org.toucanrack.internal.coordination.dispatch.VersionRole;

/** CPU of one submit and release against owned servers and against customers that queue. */
final class DispatcherSlope implements Slope {

  private static final int BASE_SERVERS = 4;
  private static final int SLOTS = 8;
  private static final long HOUR_NANOS = 3_600_000_000_000L;

  @Override
  public void measure(Scale scale, Figures figures) {
    for (int servers : new int[] {4, 16, 64}) {
      Load load = new Load(servers, 0);
      figures.at("dispatcher", "owned servers", servers).cpu("submit and release", load::next);
    }
    for (int customers : new int[] {16, 128, 1_000}) {
      int size = scale.of(customers);
      Load load = new Load(BASE_SERVERS, size);
      figures.at("dispatcher", "queued customers", size).cpu("submit and release", load::next);
    }
  }

  /** Keeps one request of each customer queued; with no customer, all slots but one stay free. */
  private static final class Load implements SlotListener {

    private final ArrayDeque<SlotGrant> grants = new ArrayDeque<>();
    private final FairSlotDispatcher dispatcher =
        new FairSlotDispatcher(Integer.MAX_VALUE, at -> true);
    private final long now = System.nanoTime();
    private final int customers;
    private long sequence;

    Load(int servers, int customers) {
      this.customers = Math.max(1, customers);
      List<OwnedServer> owned = new ArrayList<>();
      Fleet fleet = new Fleet(1, 1, 1, servers, 1, 1);
      for (BackendServer server : fleet.configuration().deployment().backendServers()) {
        owned.add(
            new OwnedServer(
                server, now, false, SLOTS, VersionRole.CURRENT, OptionalLong.empty(), 0));
      }
      dispatcher.update(owned, now);
      int queued = customers == 0 ? 0 : servers * SLOTS + customers;
      for (int i = 0; i < queued; i++) {
        submit();
      }
    }

    void next() {
      submit();
      dispatcher.release(grants.pollFirst(), SlotOutcome.SUCCEEDED, now);
    }

    private void submit() {
      String id = "request-" + sequence;
      int customer = (int) (sequence++ % customers);
      dispatcher.submit(
          new SlotRequest(
              id,
              Fleet.customerId(customer),
              1,
              Optional.empty(),
              Optional.empty(),
              Optional.empty(),
              false,
              now + HOUR_NANOS),
          this,
          now);
    }

    @Override
    public void granted(SlotGrant grant) {
      grants.addLast(grant);
    }

    @Override
    public void refused(ErrorCode code, String reason) {
      throw new IllegalStateException(code + ": " + reason);
    }
  }
}
