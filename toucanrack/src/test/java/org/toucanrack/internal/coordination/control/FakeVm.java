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
final class FakeVm implements ResourceDrainer {

  final Member member;
  final ControlCore core;
  final Deque<ControlEvent> mailbox = new ArrayDeque<>();
  final Map<ResourceId, Long> drainedEpochs = new HashMap<>();
  private final FakeWorld world;
  private final Map<ResourceId, Long> idleAtNanos = new HashMap<>();
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
      Collection<String> seedPeers) {
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
            member,
            seedPeers,
            FakeConfiguration::decode,
            this,
            OperatorRecordDecoder.NONE,
            world.now());
    snapshot = core.initialSnapshot(world.now());
  }

  /** Returns true once the simulated duration of the requests in flight has passed. */
  @Override
  public boolean drain(ResourceId resource, long epoch) {
    long idleNanos =
        idleAtNanos.computeIfAbsent(resource, id -> world.now() + world.inFlightNanos());
    if (world.now() - idleNanos < 0) {
      return false;
    }
    idleAtNanos.remove(resource);
    drainedEpochs.put(resource, epoch);
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
