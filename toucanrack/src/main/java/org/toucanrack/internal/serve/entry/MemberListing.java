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

  /** Registers this VM, then reads the member table; both are retried until the store answers. */
  void start(Supplier<EntryHeartbeat> ownHeartbeat, Consumer<SharedStore.Rows> onListed) {
    store
        .write(
            new SharedRow.RowKey(SharedTable.MEMBERS, self.value()),
            ownHeartbeat.get().toByteArray(),
            -1)
        .thenAccept(
            written -> {
              if (written.isDone()) {
                read(onListed);
              } else {
                reactor.delayBackground(RETRY_PAUSE_MS, () -> start(ownHeartbeat, onListed));
              }
            });
  }

  private void read(Consumer<SharedStore.Rows> onListed) {
    store
        .read(SharedTable.MEMBERS)
        .thenAccept(
            answer -> {
              if (answer instanceof StoreAnswer.Done<SharedStore.Rows> done) {
                onListed.accept(done.value());
              } else {
                reactor.delayBackground(RETRY_PAUSE_MS, () -> read(onListed));
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

  /** Removes this VM from the member table, since it stops. */
  void leave() {
    remove(self);
  }

  private void remove(VmId vm) {
    replica
        .row(SharedTable.MEMBERS, vm.value())
        .ifPresent(row -> store.remove(row.key(), row.revision()));
  }
}
