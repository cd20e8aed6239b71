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

/** CPU time of one submit and release by number of owned servers and of queued customers. */
final class DispatcherBenchmark implements ScalingBenchmark {

  private static final int BASE_SERVERS = 4;
  private static final int SLOTS_PER_SERVER = 8;
  private static final long HOUR_NANOS = 3_600_000_000_000L;

  @Override
  public void measure(Scale scale, FigureRecorder figures) {
    for (int servers : new int[] {4, 16, 64}) {
      Workload workload = new Workload(servers, 0);
      figures
          .pointAt("dispatcher", "owned servers", servers)
          .measureCpu("submit and release", workload::submitAndRelease);
    }
    for (int customers : new int[] {16, 128, 1_000}) {
      int size = scale.sizeFor(customers);
      Workload workload = new Workload(BASE_SERVERS, size);
      figures
          .pointAt("dispatcher", "queued customers", size)
          .measureCpu("submit and release", workload::submitAndRelease);
    }
  }

  /** Keeps one request queued per customer; without customers, at most one slot is in use. */
  private static final class Workload implements SlotListener {

    private final ArrayDeque<SlotGrant> grants = new ArrayDeque<>();
    private final FairSlotDispatcher dispatcher =
        new FairSlotDispatcher(Integer.MAX_VALUE, at -> true);
    private final long nowNanos = System.nanoTime();
    private final int customers;
    private long sequence;

    Workload(int servers, int customers) {
      this.customers = Math.max(1, customers);
      List<OwnedServer> owned = new ArrayList<>();
      Fleet fleet = new Fleet(1, 1, 1, servers, 1, 1);
      for (BackendServer server : fleet.configuration().deployment().backendServers()) {
        owned.add(
            new OwnedServer(
                server,
                nowNanos,
                false,
                SLOTS_PER_SERVER,
                VersionRole.CURRENT,
                OptionalLong.empty(),
                0));
      }
      dispatcher.update(owned, nowNanos);
      int initialRequests = customers == 0 ? 0 : servers * SLOTS_PER_SERVER + customers;
      for (int i = 0; i < initialRequests; i++) {
        submit();
      }
    }

    void submitAndRelease() {
      submit();
      dispatcher.release(grants.pollFirst(), SlotOutcome.SUCCEEDED, nowNanos);
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
              nowNanos + HOUR_NANOS),
          this,
          nowNanos);
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
