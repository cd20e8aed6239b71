package org.toucanrack.internal.coordination.control;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.coordination.lease.ResourceId;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.state.Member;

/** One VM of a {@link FakeWorld}: a control core with a mailbox. */
final class FakeVm implements ResourceUse {

  final Member member;
  final ControlCore core;
  final Deque<ControlEvent> mailbox = new ArrayDeque<>();
  final Map<ResourceId, Long> stopped = new HashMap<>();
  private final FakeWorld world;
  private final Map<ResourceId, Long> idleAt = new HashMap<>();
  ControlSnapshot snapshot;
  boolean alive = true;
  boolean paused;
  long ticks;

  FakeVm(
      FakeWorld world,
      String name,
      long incarnation,
      String domain,
      String address,
      Collection<String> firstPeers) {
    this.world = world;
    member =
        new Member(
            new Incarnation(new VmId(name), incarnation),
            new FailureDomainId(domain),
            "callers-" + address,
            address,
            false);
    core =
        new ControlCore(
            member, firstPeers, FakeConfiguration::decode, this, SnapshotParts.NONE, world.now());
    snapshot = core.firstSnapshot(world.now());
  }

  /** Requests in flight end within the time that the world sets. */
  @Override
  public boolean stop(ResourceId resource, long epoch) {
    long idle = idleAt.computeIfAbsent(resource, id -> world.now() + world.inFlightNanos());
    if (world.now() - idle < 0) {
      return false;
    }
    idleAt.remove(resource);
    stopped.put(resource, epoch);
    return true;
  }

  boolean runs() {
    return alive && !paused;
  }

  long serversUsable() {
    return snapshot.usable().backendServers().keySet().stream()
        .filter(server -> snapshot.mayDispatchTo(server, world.now()))
        .count();
  }
}
