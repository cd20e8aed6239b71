package org.toucanrack.internal.serve.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.coordination.steer.MemberTable;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;

/** Guards against look-ups that send callers to VMs of other regions while their own has some. */
class LookupRegionTest {

  private static final FailureDomainId NEAR = EntrySettingsFixture.NEAR;
  private static final FailureDomainId FAR = EntrySettingsFixture.FAR;
  private static final InetSocketAddress SELF_ADDRESS = EntrySettingsFixture.ADDRESS;
  private static final int SERVING_INTERVAL_MS = 1000;

  private final MemberTable members =
      new MemberTable(EntrySettingsFixture.VM, Duration.ofSeconds(3));
  private final PeerView view =
      new PeerView(
          EntrySettingsFixture.settings(),
          members,
          new DecisionLog("vm-5", OutputStream.nullOutputStream()),
          0);

  // A VM that starts hears the VMs of its settings first, which may be in other regions only.
  @Test
  void vmsThatHaveJustStartedSendNoCallerToAnotherRegion() {
    hearServing("vm-8", FAR, SERVING_INTERVAL_MS, millis(50));
    view.refresh(false, millis(60));

    assertEquals(LookupAnswer.Scope.NONE, lookup(NEAR, millis(60)).scope());
    assertEquals(LookupAnswer.Scope.CALLERS_REGION, lookup(FAR, millis(60)).scope());
  }

  // Heartbeats of the own region come more often and count for a shorter time.
  @Test
  void callersStayInTheRegionWhenItsHeartbeatsLapseBeforeThoseOfOthers() {
    hearServing("vm-6", NEAR, SERVING_INTERVAL_MS, 0);
    hearServing("vm-7", NEAR, SERVING_INTERVAL_MS, 0);
    hearServing("vm-8", FAR, HeartbeatSchedule.STANDBY_INTERVAL_MS, 0);
    view.refresh(true, 0);

    LookupAnswer answer = lookup(NEAR, millis(3000));

    assertEquals(LookupAnswer.Scope.CALLERS_REGION, answer.scope());
    assertEquals(List.of(SELF_ADDRESS), answer.vms());
  }

  // A VM that received nothing for a while, for lack of processor time, knows nothing of a loss.
  @Test
  void vmsThatReceivedNothingSendNoCallerToAnotherRegion() {
    hearServing("vm-6", NEAR, SERVING_INTERVAL_MS, 0);
    hearServing("vm-8", FAR, HeartbeatSchedule.STANDBY_INTERVAL_MS, 0);
    view.refresh(false, 0);

    assertEquals(LookupAnswer.Scope.NONE, lookup(NEAR, millis(3000)).scope());
  }

  @Test
  void callersOfLostRegionsAreSentToOtherRegions() {
    hearServing("vm-6", FAR, SERVING_INTERVAL_MS, 0);
    hearServing("vm-7", NEAR, SERVING_INTERVAL_MS, 0);
    view.refresh(true, 0);
    hearServing("vm-7", NEAR, SERVING_INTERVAL_MS, millis(2500));
    view.refresh(true, millis(2500));

    assertEquals(LookupAnswer.Scope.OTHER_REGIONS, lookup(FAR, millis(2500)).scope());
  }

  // Guards against callers without any VM while those of their region have been down from the
  // start.
  @Test
  void callersOfRegionsThatWereNeverHeardAreSentToOtherRegionsSoonAfterTheStart() {
    hearServing("vm-7", NEAR, SERVING_INTERVAL_MS, millis(2500));
    view.refresh(true, millis(2500));

    assertEquals(LookupAnswer.Scope.OTHER_REGIONS, lookup(FAR, millis(2500)).scope());
  }

  // Guards against callers that leave the region while its last serving VM stops as planned.
  @Test
  void callersStayInTheRegionWhileItsOnlyServingVmIsLeaving() {
    hearServing("vm-6", FAR, SERVING_INTERVAL_MS, millis(9000));
    hearServing("vm-7", NEAR, SERVING_INTERVAL_MS, millis(9900));
    view.refresh(true, millis(9900));
    hear(heartbeat("vm-6", FAR, SERVING_INTERVAL_MS).setLeaving(true), millis(10_000));
    view.refresh(true, millis(10_000));

    assertEquals(LookupAnswer.Scope.NONE, lookup(FAR, millis(10_001)).scope());

    hearServing("vm-7", NEAR, SERVING_INTERVAL_MS, millis(11_400));
    assertEquals(LookupAnswer.Scope.OTHER_REGIONS, lookup(FAR, millis(11_400)).scope());
  }

  // Guards against callers that leave the region between the failure of its serving VMs and the
  // heartbeat of the one that replaces them.
  @Test
  void callersAreSentToVmsOnStandbyRatherThanToOtherRegions() {
    hearServing("vm-7", NEAR, SERVING_INTERVAL_MS, millis(9900));
    hear(heartbeat("vm-6", FAR, HeartbeatSchedule.STANDBY_INTERVAL_MS), millis(9900));
    view.refresh(true, millis(9900));

    LookupAnswer answer = lookup(FAR, millis(9950));

    assertEquals(LookupAnswer.Scope.CALLERS_REGION, answer.scope());
    assertEquals(1, answer.vms().size());
  }

  // Guards against callers that are sent to VMs on standby which have failed with their region.
  @Test
  void vmsOnStandbyThatAreHeardRarelyAreNotNamed() {
    hearServing("vm-8", FAR, SERVING_INTERVAL_MS, 0);
    hear(heartbeat("vm-6", FAR, HeartbeatSchedule.OTHER_DOMAIN_STANDBY_INTERVAL_MS), 0);
    hearServing("vm-7", NEAR, SERVING_INTERVAL_MS, millis(2500));
    view.refresh(true, millis(2500));

    assertEquals(LookupAnswer.Scope.OTHER_REGIONS, lookup(FAR, millis(2500)).scope());
  }

  // Guards against a VM that is the only one left and names nobody to callers of other regions.
  @Test
  void theLastVmNamesItselfToCallersOfOtherRegions() {
    hearServing("vm-6", FAR, SERVING_INTERVAL_MS, 0);
    hearServing("vm-7", NEAR, SERVING_INTERVAL_MS, 0);
    view.refresh(true, millis(6000));

    LookupAnswer answer = lookup(FAR, millis(6000));

    assertEquals(LookupAnswer.Scope.OTHER_REGIONS, answer.scope());
    assertEquals(List.of(SELF_ADDRESS), answer.vms());
  }

  private LookupAnswer lookup(FailureDomainId caller, long nowNanos) {
    return view.servingVms(Optional.of(caller), nowNanos);
  }

  private void hearServing(String vm, FailureDomainId domain, int intervalMillis, long nowNanos) {
    hear(heartbeat(vm, domain, intervalMillis).setServing(true), nowNanos);
  }

  private void hear(EntryHeartbeat.Builder heartbeat, long nowNanos) {
    members.recordHeartbeat(heartbeat.setSequence(1 + nowNanos).build(), SELF_ADDRESS, nowNanos);
  }

  private static EntryHeartbeat.Builder heartbeat(
      String vm, FailureDomainId domain, int intervalMillis) {
    return EntryHeartbeat.newBuilder()
        .setVm(vm)
        .setIncarnation(1)
        .setFailureDomain(domain.value())
        .setCallersAddress("127.0.0.1:2")
        .setReady(true)
        .setRequestCapacity(1000)
        .setIntervalMillis(intervalMillis);
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
