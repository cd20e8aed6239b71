package org.toucanrack.internal.serve.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.toucanrack.internal.coordination.steer.MemberTable;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;

class LookupReporterTest {

  private static final InetSocketAddress ADDRESS = EntrySettingsFixture.ADDRESS;
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final DecisionLog log = new DecisionLog("vm-5", output);
  private final EntryMetrics metrics = new EntryMetrics();
  private final MemberTable members = new MemberTable(EntrySettingsFixture.VM, Duration.ZERO);
  private final LookupReporter reporter =
      new LookupReporter(EntrySettingsFixture.settings(), members, log, metrics, 0);

  // Guards against look-ups that send callers out of their region without a trace.
  @Test
  void lookupsOutsideTheCallersRegionAreLoggedOncePerSecondWithTheLastContact() {
    hear("vm-7", SECOND);

    record(LookupAnswer.Scope.CALLERS_REGION, 4 * SECOND);
    record(LookupAnswer.Scope.OTHER_REGIONS, 4 * SECOND);
    record(LookupAnswer.Scope.OTHER_REGIONS, 4 * SECOND + SECOND / 2);
    record(LookupAnswer.Scope.NONE, 5 * SECOND);
    log.close();

    List<String> lines = output.toString(StandardCharsets.UTF_8).lines().toList();
    assertEquals(2, lines.size());
    assertTrue(lines.get(0).contains("\"scope\":\"other_regions\",\"lookups\":1"), lines.get(0));
    assertTrue(lines.get(0).contains("\"heard\":1,\"alive\":0,\"silent_ms\":3000"), lines.get(0));
    assertTrue(lines.get(1).contains("\"scope\":\"none\",\"lookups\":2"), lines.get(1));
    String scraped = new String(metrics.scrape(), StandardCharsets.UTF_8);
    assertTrue(scraped.contains("toucanrack_lookups_total{scope=\"callers_region\"} 1.0"));
    assertTrue(scraped.contains("toucanrack_lookups_total{scope=\"other_regions\"} 2.0"));
    assertTrue(scraped.contains("toucanrack_lookups_total{scope=\"none\"} 1.0"));
  }

  private void record(LookupAnswer.Scope scope, long nowNanos) {
    List<InetSocketAddress> vms = scope == LookupAnswer.Scope.NONE ? List.of() : List.of(ADDRESS);
    reporter.record(
        Optional.of(EntrySettingsFixture.FAR), new LookupAnswer(vms, scope), true, false, nowNanos);
  }

  private void hear(String vm, long nowNanos) {
    members.recordHeartbeat(
        EntryHeartbeat.newBuilder()
            .setVm(vm)
            .setIncarnation(1)
            .setSequence(1)
            .setFailureDomain(EntrySettingsFixture.FAR.value())
            .setIntervalMillis(1000)
            .build(),
        ADDRESS,
        nowNanos);
  }
}
