package org.toucanrack.internal.coordination.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.toucanrack.ErrorCode;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/** Requests, servers and a recording listener for dispatcher tests. */
final class DispatchFixture {

  static final long NANOS_PER_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
  static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
  static final VersionId OLD = new VersionId("v1");
  static final VersionId NEW = new VersionId("v2");

  private DispatchFixture() {}

  static OwnedServer server(String id, int slots) {
    return server(id, slots, OLD, VersionRole.CURRENT);
  }

  static OwnedServer server(String id, int slots, VersionId version, VersionRole role) {
    return new OwnedServer(
        new BackendServer(
            new BackendServerId(id),
            new ServiceId("catalogue"),
            version,
            new FailureDomainId("khomas-1"),
            "127.0.0.1",
            9000,
            slots,
            slots),
        0,
        false,
        slots,
        role,
        OptionalLong.empty(),
        0);
  }

  static OwnedServer draining(OwnedServer from) {
    return new OwnedServer(
        from.server(), 0, true, from.concurrency(), from.role(), OptionalLong.empty(), 0);
  }

  static SlotRequest request(String id, String customer, double weight, long deadlineNanos) {
    return new SlotRequest(
        id,
        new CustomerId(customer),
        weight,
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        false,
        deadlineNanos);
  }

  static SlotRequest request(String id, String customer) {
    return request(id, customer, 1, 60 * NANOS_PER_SECOND);
  }

  static SlotRequest request(String id, VersionId version) {
    return new SlotRequest(
        id,
        new CustomerId("acacia"),
        1,
        Optional.of(version),
        Optional.empty(),
        Optional.empty(),
        false,
        60 * NANOS_PER_SECOND);
  }

  /** Records decisions in order. */
  static final class Recorder implements SlotListener {
    final List<SlotGrant> grants = new ArrayList<>();
    final List<ErrorCode> refusals = new ArrayList<>();

    @Override
    public synchronized void granted(SlotGrant grant) {
      grants.add(grant);
    }

    @Override
    public synchronized void refused(ErrorCode code, String reason) {
      refusals.add(code);
    }

    SlotGrant last() {
      return grants.get(grants.size() - 1);
    }

    long grantsOf(String prefix) {
      return grants.stream().filter(grant -> grant.requestId().startsWith(prefix)).count();
    }
  }
}
