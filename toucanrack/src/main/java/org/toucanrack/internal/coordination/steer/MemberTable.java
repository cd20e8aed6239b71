package org.toucanrack.internal.coordination.steer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;

/**
 * The other entry VMs: those listed in the store and those heard from.
 *
 * <p>A VM is heard while its heartbeats arrive. One that is listed or was heard lately may still
 * run behind a partition, and counts as unheard. Not thread-safe.
 */
public final class MemberTable {

  /** A VM that missed two heartbeats is not heard; a part more covers late timers. */
  static final double ALIVE_TIMEOUT_INTERVALS = 2.3;

  private static final long DEFAULT_HEARTBEAT_INTERVAL_MS = 1000;

  /** A VM that is silent for longer has ended: partitions of a platform are shorter than this. */
  static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final VmId self;
  private final Map<VmId, Entry> entries = new HashMap<>();

  private static final class Entry {
    private EntryHeartbeat latest;
    private InetSocketAddress peersAddress;
    private long lastHeartbeatNanos;
    private boolean heartbeatReceived;
    private long listedNanos;
  }

  /** Creates a table without other VMs. */
  public MemberTable(VmId self) {
    this.self = self;
  }

  /** Takes over a listing of the store. */
  public void addListed(VmId vm, InetSocketAddress peersAddress, long nowNanos) {
    if (vm.equals(self)) {
      return;
    }
    Entry entry = entries.get(vm);
    if (entry == null) {
      entry = new Entry();
      entry.listedNanos = nowNanos;
      entries.put(vm, entry);
    }
    if (!entry.heartbeatReceived) {
      entry.peersAddress = peersAddress;
    }
  }

  /**
   * Takes over a heartbeat. Claims that a serving VM leaves out hold on; one that stands by has
   * given up what it leaves out.
   *
   * @return whether it tells of a VM, or of a run of it, that was not heard before
   */
  public boolean recordHeartbeat(
      EntryHeartbeat heartbeat, InetSocketAddress peersAddress, long nowNanos) {
    VmId vm = new VmId(heartbeat.getVm());
    if (vm.equals(self)) {
      return false;
    }
    Entry entry = entries.computeIfAbsent(vm, id -> new Entry());
    boolean sameRun =
        entry.latest != null && entry.latest.getIncarnation() == heartbeat.getIncarnation();
    if (sameRun && entry.latest.getSequence() >= heartbeat.getSequence()) {
      return false;
    }
    entry.latest =
        sameRun && heartbeat.getServing() && heartbeat.getClaimsCount() == 0
            ? heartbeat.toBuilder().addAllClaims(entry.latest.getClaimsList()).build()
            : heartbeat;
    entry.peersAddress = peersAddress;
    boolean newlyAlive = !sameRun || !isAlive(entry, nowNanos);
    entry.lastHeartbeatNanos = nowNanos;
    entry.heartbeatReceived = true;
    return newlyAlive;
  }

  /** Forgets VMs that have been silent for very long; returns their names. */
  public List<VmId> removeExpired(long nowNanos) {
    List<VmId> expired = new ArrayList<>();
    entries.forEach(
        (vm, entry) -> {
          long since = entry.heartbeatReceived ? entry.lastHeartbeatNanos : entry.listedNanos;
          if (nowNanos - since > EXPIRY_NANOS) {
            expired.add(vm);
          }
        });
    expired.forEach(entries::remove);
    return expired;
  }

  /** Returns the newest heartbeats of the VMs that are heard and not leaving. */
  public List<EntryHeartbeat> aliveMembers(long nowNanos) {
    List<EntryHeartbeat> aliveMembers = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (isAlive(entry, nowNanos) && !entry.latest.getLeaving()) {
        aliveMembers.add(entry.latest);
      }
    }
    return aliveMembers;
  }

  /** Returns the newest heartbeat of each VM that was ever heard and may still run. */
  public Collection<EntryHeartbeat> latestHeartbeats() {
    return entries.values().stream()
        .filter(entry -> entry.latest != null && !entry.latest.getLeaving())
        .map(entry -> entry.latest)
        .toList();
  }

  /** Returns whether a VM is heard. */
  public boolean isAlive(VmId vm, long nowNanos) {
    Entry entry = entries.get(vm);
    return entry != null && isAlive(entry, nowNanos);
  }

  private static boolean isAlive(Entry entry, long nowNanos) {
    return entry.heartbeatReceived
        && nowNanos - entry.lastHeartbeatNanos <= aliveTimeoutNanos(entry.latest);
  }

  private static long aliveTimeoutNanos(EntryHeartbeat latest) {
    long interval =
        latest.getIntervalMillis() == 0
            ? DEFAULT_HEARTBEAT_INTERVAL_MS
            : latest.getIntervalMillis();
    return TimeUnit.MILLISECONDS.toNanos((long) (ALIVE_TIMEOUT_INTERVALS * interval));
  }

  /**
   * Returns the number of VMs that may run and serve but are not heard. VMs that never were heard
   * count as well.
   */
  public int suspectedCount(long nowNanos) {
    int suspectedCount = 0;
    for (Entry entry : entries.values()) {
      boolean idle =
          entry.latest != null && (entry.latest.getLeaving() || !entry.latest.getServing());
      if (!idle && !isAlive(entry, nowNanos)) {
        suspectedCount++;
      }
    }
    return suspectedCount;
  }

  /** Returns where heartbeats are sent, with the newest heartbeat from there if there is one. */
  public Map<InetSocketAddress, Optional<EntryHeartbeat>> heartbeatTargets() {
    Map<InetSocketAddress, Optional<EntryHeartbeat>> targets = new HashMap<>();
    entries
        .values()
        .forEach(entry -> targets.put(entry.peersAddress, Optional.ofNullable(entry.latest)));
    return targets;
  }

  /** Returns the number of other VMs that did not tell that they leave or stand by. */
  public int possiblyServingCount() {
    return (int) entries.values().stream().filter(MemberTable::mayServe).count();
  }

  private static boolean mayServe(Entry entry) {
    boolean onStandby = entry.heartbeatReceived && !entry.latest.getServing();
    return entry.latest == null || !(entry.latest.getLeaving() || onStandby);
  }

  /** Returns the number of other VMs. */
  public int size() {
    return entries.size();
  }

  /** Returns the address for peers of a VM. */
  public Optional<InetSocketAddress> address(VmId vm) {
    return Optional.ofNullable(entries.get(vm)).map(entry -> entry.peersAddress);
  }
}
