package org.toucanrack.internal.coordination.steer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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

  /** A VM that missed two heartbeats is not heard. */
  static final long HEARD_NANOS = TimeUnit.MILLISECONDS.toNanos(2300);

  /** A VM that is silent for longer has ended: partitions of a platform are shorter than this. */
  static final long FORGOTTEN_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final VmId self;
  private final Map<VmId, Entry> entries = new HashMap<>();

  private static final class Entry {
    private EntryHeartbeat newest;
    private InetSocketAddress peers;
    private long heardNanos;
    private boolean everHeard;
    private long listedNanos;
  }

  /** Creates a table without other VMs. */
  public MemberTable(VmId self) {
    this.self = self;
  }

  /** Takes over a listing of the store. */
  public void listed(VmId vm, InetSocketAddress peers, long nowNanos) {
    if (vm.equals(self)) {
      return;
    }
    Entry entry = entries.get(vm);
    if (entry == null) {
      entry = new Entry();
      entry.listedNanos = nowNanos;
      entries.put(vm, entry);
    }
    if (!entry.everHeard) {
      entry.peers = peers;
    }
  }

  /**
   * Takes over a heartbeat.
   *
   * @return whether it tells of a VM, or of a run of it, that was not heard before
   */
  public boolean heard(EntryHeartbeat heartbeat, InetSocketAddress peers, long nowNanos) {
    VmId vm = new VmId(heartbeat.getVm());
    if (vm.equals(self)) {
      return false;
    }
    Entry entry = entries.computeIfAbsent(vm, id -> new Entry());
    boolean sameRun =
        entry.newest != null && entry.newest.getIncarnation() == heartbeat.getIncarnation();
    if (sameRun && entry.newest.getSequence() >= heartbeat.getSequence()) {
      return false;
    }
    entry.newest =
        sameRun && heartbeat.getClaimsCount() == 0
            ? heartbeat.toBuilder().addAllClaims(entry.newest.getClaimsList()).build()
            : heartbeat;
    entry.peers = peers;
    boolean fresh = !sameRun || !isHeard(entry, nowNanos);
    entry.heardNanos = nowNanos;
    entry.everHeard = true;
    return fresh;
  }

  /** Forgets VMs that have been silent for very long; returns their names. */
  public List<VmId> forget(long nowNanos) {
    List<VmId> forgotten = new ArrayList<>();
    entries.forEach(
        (vm, entry) -> {
          long since = entry.everHeard ? entry.heardNanos : entry.listedNanos;
          if (nowNanos - since > FORGOTTEN_NANOS) {
            forgotten.add(vm);
          }
        });
    forgotten.forEach(entries::remove);
    return forgotten;
  }

  /** Returns the newest heartbeats of the VMs that are heard and not leaving. */
  public List<EntryHeartbeat> present(long nowNanos) {
    List<EntryHeartbeat> present = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (isHeard(entry, nowNanos) && !entry.newest.getLeaving()) {
        present.add(entry.newest);
      }
    }
    return present;
  }

  /** Returns the newest heartbeat of each VM that was ever heard and may still run. */
  public Collection<EntryHeartbeat> known() {
    return entries.values().stream()
        .filter(entry -> entry.newest != null && !entry.newest.getLeaving())
        .map(entry -> entry.newest)
        .toList();
  }

  /** Returns whether a VM is heard. */
  public boolean isHeard(VmId vm, long nowNanos) {
    Entry entry = entries.get(vm);
    return entry != null && isHeard(entry, nowNanos);
  }

  private static boolean isHeard(Entry entry, long nowNanos) {
    return entry.everHeard && nowNanos - entry.heardNanos <= HEARD_NANOS;
  }

  /** Returns the number of VMs that may run but are not heard. */
  public int unheard(long nowNanos) {
    int unheard = 0;
    for (Entry entry : entries.values()) {
      boolean left = entry.newest != null && entry.newest.getLeaving();
      if (!left && !isHeard(entry, nowNanos)) {
        unheard++;
      }
    }
    return unheard;
  }

  /** Returns where heartbeats are sent. */
  public Set<InetSocketAddress> addresses() {
    Set<InetSocketAddress> addresses = new HashSet<>();
    entries.values().forEach(entry -> addresses.add(entry.peers));
    return addresses;
  }

  /** Returns the address for peers of a VM. */
  public Optional<InetSocketAddress> address(VmId vm) {
    return Optional.ofNullable(entries.get(vm)).map(entry -> entry.peers);
  }
}
