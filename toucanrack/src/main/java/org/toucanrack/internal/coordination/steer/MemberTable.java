package org.toucanrack.internal.coordination.steer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;

/**
 * Tracks the other entry VMs: those listed in the store and those that send heartbeats.
 *
 * <p>A member is alive while its heartbeats arrive. A member that is listed, or that sent
 * heartbeats until recently, may still be running behind a partition and is suspected. A member
 * that announces that it is leaving gets no new callers, but uses its parts of the limits that all
 * VMs share until it has stopped sending requests; it is suspected until then. Not thread-safe.
 */
public final class MemberTable {

  /** Two missed heartbeats, plus a margin for late timers. */
  public static final double ALIVE_TIMEOUT_INTERVALS = 2.3;

  private static final long DEFAULT_HEARTBEAT_INTERVAL_MS = 1000;

  /**
   * Members without heartbeats for this long have stopped: partitions on the platform are shorter.
   */
  static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final VmId self;
  private final long stoppingSendNanos;
  private final Map<VmId, Entry> entries = new HashMap<>();

  /** The entries by the incarnation of their latest heartbeats. */
  private final Map<Long, Entry> runs = new HashMap<>();

  private static final class Entry {
    private EntryHeartbeat latest;
    private InetSocketAddress peersAddress;
    private long lastHeartbeatNanos;
    private boolean heartbeatReceived;
    private long listedNanos;
    private long leavingSinceNanos;
    private boolean servedBeforeLeaving;
    private OptionalLong servedNanos = OptionalLong.empty();
  }

  /**
   * Creates a table without members; entries for {@code self} are ignored.
   *
   * @param stoppingSendTime how long a VM that has announced that it is leaving may still send
   *     requests to servers
   */
  public MemberTable(VmId self, Duration stoppingSendTime) {
    this.self = self;
    this.stoppingSendNanos = stoppingSendTime.toNanos();
  }

  /**
   * Adds a member that is listed in the store. The address of a heartbeat takes precedence over the
   * listed one.
   */
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
   * Records a heartbeat; those of this VM and those that arrive out of order are ignored.
   *
   * <p>A heartbeat of a serving VM without claims leaves its earlier claims in force; a VM on
   * standby gives up its claims by leaving them out.
   *
   * @return whether the member, or this incarnation of it, was not alive before
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
    if (!sameRun) {
      forgetRun(entry);
      runs.put(heartbeat.getIncarnation(), entry);
    }
    boolean wasLeaving = sameRun && entry.latest.getLeaving();
    if (heartbeat.getLeaving() && !wasLeaving) {
      entry.leavingSinceNanos = nowNanos;
      entry.servedBeforeLeaving = !sameRun || entry.latest.getServing();
    }
    entry.latest =
        sameRun && heartbeat.getServing() && heartbeat.getClaimsCount() == 0
            ? heartbeat.toBuilder().addAllClaims(entry.latest.getClaimsList()).build()
            : heartbeat;
    entry.peersAddress = peersAddress;
    final boolean newlyAlive = !sameRun || !isAlive(entry, nowNanos);
    entry.lastHeartbeatNanos = nowNanos;
    entry.heartbeatReceived = true;
    if (heartbeat.getServing()) {
      entry.servedNanos = OptionalLong.of(nowNanos);
    }
    return newlyAlive;
  }

  /** Removes members that have been silent for {@link #EXPIRY_NANOS} and returns their ids. */
  public List<VmId> removeExpired(long nowNanos) {
    List<VmId> expired = new ArrayList<>();
    entries.forEach(
        (vm, entry) -> {
          long since = entry.heartbeatReceived ? entry.lastHeartbeatNanos : entry.listedNanos;
          if (nowNanos - since > EXPIRY_NANOS) {
            expired.add(vm);
          }
        });
    expired.forEach(vm -> forgetRun(entries.remove(vm)));
    return expired;
  }

  private void forgetRun(Entry entry) {
    if (entry.latest != null) {
      runs.remove(entry.latest.getIncarnation(), entry);
    }
  }

  /** Returns the latest heartbeats of the members that are alive and not leaving. */
  public List<EntryHeartbeat> aliveMembers(long nowNanos) {
    List<EntryHeartbeat> aliveMembers = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (isAlive(entry, nowNanos) && !entry.latest.getLeaving()) {
        aliveMembers.add(entry.latest);
      }
    }
    return aliveMembers;
  }

  /**
   * Returns the latest heartbeat of each member, alive or suspected, that sent one and may still
   * send requests to servers.
   */
  public Collection<EntryHeartbeat> latestHeartbeats(long nowNanos) {
    return entries.values().stream()
        .filter(entry -> entry.latest != null)
        .filter(entry -> !entry.latest.getLeaving() || stillSends(entry, nowNanos))
        .map(entry -> entry.latest)
        .toList();
  }

  /** Returns whether a leaving member may still send requests that it accepted before its stop. */
  private boolean stillSends(Entry entry, long nowNanos) {
    return entry.servedBeforeLeaving && nowNanos - entry.leavingSinceNanos <= stoppingSendNanos;
  }

  /** Returns whether the member's heartbeats arrive. */
  public boolean isAlive(VmId vm, long nowNanos) {
    Entry entry = entries.get(vm);
    return entry != null && isAlive(entry, nowNanos);
  }

  private static boolean isAlive(Entry entry, long nowNanos) {
    return entry.heartbeatReceived
        && nowNanos - entry.lastHeartbeatNanos <= aliveTimeoutNanos(entry.latest);
  }

  /**
   * What this VM has heard of a group of members.
   *
   * @param heard number of members that sent a heartbeat
   * @param alive number of those that are alive
   * @param silentNanos time since the latest heartbeat; empty if there was none
   * @param servedNanos time since the latest heartbeat of a member that served then, although it
   *     may be leaving or have been restarted since; empty if there was none
   */
  public record Contact(int heard, int alive, OptionalLong silentNanos, OptionalLong servedNanos) {}

  /** Returns what this VM has heard of the members whose latest heartbeats are selected. */
  public Contact contact(Predicate<EntryHeartbeat> selected, long nowNanos) {
    int heard = 0;
    int alive = 0;
    OptionalLong silentNanos = OptionalLong.empty();
    OptionalLong servedNanos = OptionalLong.empty();
    for (Entry entry : entries.values()) {
      if (entry.latest != null && selected.test(entry.latest)) {
        heard++;
        alive += isAlive(entry, nowNanos) ? 1 : 0;
        silentNanos = shorter(silentNanos, nowNanos - entry.lastHeartbeatNanos);
        if (entry.servedNanos.isPresent()) {
          servedNanos = shorter(servedNanos, nowNanos - entry.servedNanos.getAsLong());
        }
      }
    }
    return new Contact(heard, alive, silentNanos, servedNanos);
  }

  private static OptionalLong shorter(OptionalLong nanos, long other) {
    return OptionalLong.of(Math.min(other, nanos.orElse(other)));
  }

  private static long aliveTimeoutNanos(EntryHeartbeat latest) {
    long interval =
        latest.getIntervalMillis() == 0
            ? DEFAULT_HEARTBEAT_INTERVAL_MS
            : latest.getIntervalMillis();
    return TimeUnit.MILLISECONDS.toNanos((long) (ALIVE_TIMEOUT_INTERVALS * interval));
  }

  /**
   * Returns the number of members that may send requests to servers although they are not alive:
   * those from which no heartbeats arrive, including those that never sent one, and those that are
   * leaving.
   */
  public int suspectedCount(long nowNanos) {
    int suspectedCount = 0;
    for (Entry entry : entries.values()) {
      if (isSuspected(entry, nowNanos)) {
        suspectedCount++;
      }
    }
    return suspectedCount;
  }

  /** Returns whether a member that has not announced that it is leaving is not alive. */
  public boolean isAnyUnheard(long nowNanos) {
    return entries.values().stream()
        .anyMatch(
            entry ->
                !isAlive(entry, nowNanos) && (entry.latest == null || !entry.latest.getLeaving()));
  }

  private boolean isSuspected(Entry entry, long nowNanos) {
    if (entry.latest != null && entry.latest.getLeaving()) {
      return stillSends(entry, nowNanos);
    }
    boolean onStandby = entry.latest != null && !entry.latest.getServing();
    return !onStandby && !isAlive(entry, nowNanos);
  }

  /**
   * Returns the addresses that heartbeats are sent to, with the latest heartbeat of each member, if
   * any.
   */
  public Map<InetSocketAddress, Optional<EntryHeartbeat>> heartbeatTargets() {
    Map<InetSocketAddress, Optional<EntryHeartbeat>> targets = new HashMap<>();
    entries
        .values()
        .forEach(entry -> targets.put(entry.peersAddress, Optional.ofNullable(entry.latest)));
    return targets;
  }

  /** Returns the number of members that have not announced that they are leaving or on standby. */
  public int possiblyServingCount() {
    return (int) entries.values().stream().filter(MemberTable::mayServe).count();
  }

  private static boolean mayServe(Entry entry) {
    boolean onStandby = entry.heartbeatReceived && !entry.latest.getServing();
    return entry.latest == null || !(entry.latest.getLeaving() || onStandby);
  }

  /** Returns the number of members, alive or suspected. */
  public int size() {
    return entries.size();
  }

  /** Returns the latest heartbeat of one run of a member, with its latest claims. */
  public Optional<EntryHeartbeat> latestOfRun(long incarnation) {
    return Optional.ofNullable(runs.get(incarnation)).map(entry -> entry.latest);
  }

  /** Returns a member's address for its peers, if the member is known. */
  public Optional<InetSocketAddress> address(VmId vm) {
    return Optional.ofNullable(entries.get(vm)).map(entry -> entry.peersAddress);
  }
}
