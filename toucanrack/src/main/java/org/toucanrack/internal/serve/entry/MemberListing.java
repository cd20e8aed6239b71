package org.toucanrack.internal.serve.entry;

import com.google.protobuf.InvalidProtocolBufferException;
import io.activej.reactor.nio.NioReactor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.coordination.steer.MemberTable;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;
import org.toucanrack.internal.state.shared.SharedTableReplica;
import org.toucanrack.platform.StoreAnswer;
import org.toucanrack.steering.SharedRow;
import org.toucanrack.steering.SharedStore;
import org.toucanrack.steering.SharedTable;
import org.toucanrack.steering.StoreEpoch;

/**
 * Registers this VM in the member table of the store and discovers the other VMs there. Confined to
 * the control thread.
 */
final class MemberListing {

  /** Pause between attempts while the store does not answer. */
  private static final long RETRY_PAUSE_MS = 700;

  private final NioReactor reactor;
  private final VmId self;
  private final SharedStore store;
  private final SharedTableReplica replica;
  private final MemberTable members;
  private final DecisionLog log;
  private long registration;

  MemberListing(
      NioReactor reactor,
      VmId self,
      SharedStore store,
      SharedTableReplica replica,
      MemberTable members,
      DecisionLog log) {
    this.reactor = reactor;
    this.self = self;
    this.store = store;
    this.replica = replica;
    this.members = members;
    this.log = log;
  }

  /**
   * Registers this VM, then reads the member table; both are retried until the store answers. Also
   * called when the store came back from a copy, which may lack this VM; an earlier call that still
   * runs is abandoned.
   */
  void start(Supplier<EntryHeartbeat> ownHeartbeat, Consumer<SharedStore.Rows> onListed) {
    register(++registration, ownHeartbeat, onListed);
  }

  private void register(
      long current, Supplier<EntryHeartbeat> ownHeartbeat, Consumer<SharedStore.Rows> onListed) {
    if (current != registration) {
      return;
    }
    store
        .write(
            new SharedRow.RowKey(SharedTable.MEMBERS, self.value()),
            ownHeartbeat.get().toByteArray(),
            -1,
            replica.epoch())
        .thenAccept(
            written -> {
              if (written.isDone()) {
                read(current, store.epoch(), ownHeartbeat, onListed);
              } else {
                reactor.delayBackground(
                    RETRY_PAUSE_MS, () -> register(current, ownHeartbeat, onListed));
              }
            });
  }

  private void read(
      long current,
      StoreEpoch writtenEpoch,
      Supplier<EntryHeartbeat> ownHeartbeat,
      Consumer<SharedStore.Rows> onListed) {
    if (current != registration) {
      return;
    }
    store
        .read(SharedTable.MEMBERS)
        .thenAccept(
            answer -> {
              if (!(answer instanceof StoreAnswer.Done<SharedStore.Rows> done)) {
                reactor.delayBackground(
                    RETRY_PAUSE_MS, () -> read(current, writtenEpoch, ownHeartbeat, onListed));
              } else if (done.value().epoch().isAfter(writtenEpoch)) {
                register(current, ownHeartbeat, onListed);
              } else if (current == registration) {
                onListed.accept(done.value());
              }
            });
  }

  /** Adds the VM of a row to the known members. Unreadable rows are logged and ignored. */
  void applyRow(SharedRow row, long nowNanos) {
    if (row.isRemoved()) {
      return;
    }
    try {
      EntryHeartbeat member = EntryHeartbeat.parseFrom(row.value());
      members.addListed(
          new VmId(member.getVm()), PeerAddresses.parse(member.getPeersAddress()), nowNanos);
    } catch (InvalidProtocolBufferException | RuntimeException e) {
      log.event("member-unreadable", "member", row.key().name(), "reason", e.getMessage());
    }
  }

  /** Removes VMs from the member table that have sent no heartbeat for very long. */
  void removeExpired(long nowNanos) {
    for (VmId expired : members.removeExpired(nowNanos)) {
      log.event("member-forgotten", "member", expired);
      remove(expired);
    }
  }

  /** Removes this VM from the member table, since it stops; it does not register again. */
  void leave() {
    registration++;
    remove(self);
  }

  private void remove(VmId vm) {
    replica
        .row(SharedTable.MEMBERS, vm.value())
        .filter(row -> replica.isCurrent(SharedTable.MEMBERS))
        .ifPresent(
            row -> store.remove(row.key(), row.revision(), replica.epoch(SharedTable.MEMBERS)));
  }
}
