package org.toucanrack.internal.serve.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.coordination.steer.MemberTable;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;

class PeerViewTest {

  private static final InetSocketAddress ADDRESS = EntrySettingsFixture.ADDRESS;
  private static final FailureDomainId FAR = EntrySettingsFixture.FAR;
  private static final VmId SELF = EntrySettingsFixture.VM;

  /** Longer than a heartbeat of a VM on standby in another region counts. */
  private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(13);

  private final MemberTable members = new MemberTable(SELF, Duration.ofSeconds(3));
  private final PeerView view =
      new PeerView(
          EntrySettingsFixture.settings(),
          members,
          new DecisionLog("vm-5", OutputStream.nullOutputStream()),
          0);

  // Guards against no VM, or nearly all VMs, that look for lost answers of the store.
  @Test
  void firstServingVmThatReachesTheStoreWatchesIt() {
    hear("vm-7", true, true, 0);
    view.refresh(true, 0);
    assertTrue(view.watchesStore(0));

    hear("vm-3", true, false, 0);
    hear("vm-2", false, true, 0);
    view.refresh(true, 0);
    assertTrue(view.watchesStore(0));

    hear("vm-4", true, true, 0);
    view.refresh(true, 0);
    assertFalse(view.watchesStore(0));

    view.refresh(true, SILENT_NANOS);
    assertTrue(view.watchesStore(SILENT_NANOS));
  }

  // Guards against parts of the retry reserve that add up to more than the whole when VMs on
  // standby
  // begin to serve beyond a partition, and against parts divided among VMs that do not serve.
  @Test
  void allMembersShareTheRetryReserveWhileOneIsNotHeard() {
    view.refresh(false, 0);
    assertEquals(0, view.retrySharers(false, 0));

    view.refresh(true, 0);
    assertEquals(1, view.retrySharers(false, 0));

    hear("vm-7", true, true, 0);
    hear("vm-8", false, false, 0);
    hear("vm-9", false, false, 0);
    assertEquals(2, view.retrySharers(false, 0));

    members.addListed(new VmId("vm-6"), ADDRESS, 0);
    assertEquals(5, view.retrySharers(false, 0));

    hear("vm-6", true, true, 0);
    assertEquals(3, view.retrySharers(false, 0));

    hear("vm-7", true, true, SILENT_NANOS);
    hear("vm-6", true, true, SILENT_NANOS);
    assertEquals(5, view.retrySharers(false, SILENT_NANOS));
  }

  // Guards against a rounding error by which the only region with requests has more than all of
  // them. Its rejection kept a new configuration from the thread that handles requests.
  @Test
  void theOnlyRegionWithRequestsHasAllOfThem() {
    hear("vm-7", true, true, 0);
    hear("vm-8", EntrySettingsFixture.OTHER, true, true, 0);

    for (int tenths = 1; tenths <= 10_000; tenths++) {
      view.updateOwnRequestsPerSecond(tenths / 10.0);
      view.refresh(true, 0);

      assertEquals(1, view.demandShares().ofAllRegions(), 1e-9);
      assertEquals(1, view.demandShares().ofOwnRegion(), 1e-9);
    }
  }

  private void hear(String vm, boolean serving, boolean storeReached, long nowNanos) {
    hear(vm, FAR, serving, storeReached, nowNanos);
  }

  private void hear(
      String vm, FailureDomainId domain, boolean serving, boolean storeReached, long nowNanos) {
    members.recordHeartbeat(
        EntryHeartbeat.newBuilder()
            .setVm(vm)
            .setIncarnation(1)
            .setSequence(1 + nowNanos)
            .setFailureDomain(domain.value())
            .setReady(true)
            .setServing(serving)
            .setStoreReached(storeReached)
            .setRequestCapacity(100)
            .setIntervalMillis(serving ? 1000 : 5000)
            .build(),
        ADDRESS,
        nowNanos);
  }
}
