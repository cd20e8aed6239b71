package org.toucanrack.internal.serve.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.steering.AnnouncedServer;
import org.toucanrack.steering.SharedRow;
import org.toucanrack.steering.SharedTable;

class RetainedServersTest {

  private static final Duration SETTLING_TIME = Duration.ofSeconds(3);

  private final RetainedServers servers =
      new RetainedServers(SETTLING_TIME, new DecisionLog("vm-1", OutputStream.nullOutputStream()));

  // Guards against the loss of all servers when the store returns after an outage in which their
  // rows expired.
  @Test
  void serversWhoseRowsExpiredStayUntilTheyHadTimeToReturn() {
    servers.storeFailed(millis(4000));
    servers.storeFailed(millis(4500));
    servers.storeAnswered();

    remove(server(false), 4600);

    assertEquals(1, retained().size());
    assertFalse(servers.removeExpired(millis(6799)));
    assertTrue(servers.removeExpired(millis(6800)));
  }

  // Guards against requests to a server that left after an outage: the settling time has passed.
  @Test
  void noServerIsRetainedPastTheSettlingTimeOfTheOutage() {
    servers.storeFailed(millis(4000));
    servers.storeFailed(millis(4500));
    servers.storeAnswered();

    remove(server(false), 6900);

    assertFalse(servers.removeExpired(millis(7099)));
    assertTrue(servers.removeExpired(millis(7100)));
    remove(server(false), 7100);
    assertEquals(List.of(), retained());
  }

  // Guards against requests to a server that leaves while one call of this VM fails.
  @Test
  void singleFailedCallsAreNoOutage() {
    servers.storeFailed(millis(4000));
    servers.storeAnswered();
    servers.storeFailed(millis(4400));

    remove(server(false), 4500);

    assertEquals(List.of(), retained());
  }

  // Guards against a server that announced its end and is used again during an outage.
  @Test
  void drainingServersAreNotRetained() {
    servers.storeFailed(millis(4000));
    servers.storeFailed(millis(4500));

    remove(server(true), 4600);

    assertEquals(List.of(), retained());
  }

  private void remove(AnnouncedServer server, long nowMillis) {
    SharedRow row = new SharedRow(new SharedRow.RowKey(SharedTable.SERVERS, "i-1"), 9, null);
    servers.rowRemoved(row, server, millis(nowMillis));
  }

  private List<AnnouncedServer> retained() {
    List<AnnouncedServer> retained = new ArrayList<>();
    servers.addTo(retained);
    return retained;
  }

  private static AnnouncedServer server(boolean draining) {
    return new AnnouncedServer(
        new BackendServerId("i-1"),
        new ServiceId("svc"),
        new VersionId("v1"),
        new FailureDomainId("near-a"),
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 7000),
        3,
        draining,
        Duration.ZERO,
        1);
  }

  private static long millis(long value) {
    return TimeUnit.MILLISECONDS.toNanos(value);
  }
}
