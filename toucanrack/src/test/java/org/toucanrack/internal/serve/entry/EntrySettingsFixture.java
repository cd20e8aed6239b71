package org.toucanrack.internal.serve.entry;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.VmId;
import org.toucanrack.steering.EntrySettings;

/** Settings of a VM in a deployment with one failure domain in each of three regions. */
final class EntrySettingsFixture {

  static final VmId VM = new VmId("vm-5");
  static final FailureDomainId NEAR = new FailureDomainId("near-a");
  static final FailureDomainId FAR = new FailureDomainId("far-a");
  static final FailureDomainId OTHER = new FailureDomainId("other-a");
  static final InetSocketAddress ADDRESS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

  private EntrySettingsFixture() {}

  /** Returns the settings of {@link #VM} in {@link #NEAR}. */
  static EntrySettings settings() {
    return new EntrySettings(
        VM,
        NEAR,
        Map.of(NEAR, new RegionId("near"), FAR, new RegionId("far"), OTHER, new RegionId("other")),
        new EntrySettings.Endpoints(
            ADDRESS, ADDRESS, ADDRESS, ADDRESS, Optional.empty(), List.of()),
        new EntrySettings.Bounds(
            Duration.ofSeconds(6),
            Duration.ofSeconds(5),
            0.2,
            60,
            Duration.ofSeconds(10),
            1.5,
            5,
            0.15,
            Duration.ofSeconds(5),
            20,
            0.1,
            Duration.ofSeconds(3)),
        100);
  }
}
