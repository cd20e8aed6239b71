package org.toucanrack.internal.serve.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;
import org.toucanrack.internal.protocol.generated.RetryReservePart;

/**
 * Gives parts of this VM's retry reserve to VMs that have begun to serve, and adds parts that other
 * VMs give. A VM starts with an empty reserve; without these parts it would take seconds until the
 * first extra attempt of a VM with few requests.
 *
 * <p>Invariants: a part is taken from the giver before it is sent, so a lost datagram loses
 * attempts and never adds any; each run of a VM gives to each other run at most once, and later
 * copies of the datagram are ignored. Confined to the control thread.
 */
final class RetryReserveTransfers {

  private final LocalReserve localReserve;
  private final Map<String, Long> servingRuns = new HashMap<>();
  private final Set<Long> giverRuns = new HashSet<>();

  /** The retry reserve of this VM. */
  interface LocalReserve {

    /** Takes one of equal parts of each stock; the callback gets the attempts by service. */
    void give(int parts, Consumer<Map<ServiceId, Double>> onGiven);

    /** Adds attempts by service that another VM has given. */
    void receive(Map<ServiceId, Double> attempts);
  }

  RetryReserveTransfers(LocalReserve localReserve) {
    this.localReserve = localReserve;
  }

  /**
   * Processes a heartbeat.
   *
   * @param servingVms the number of VMs that serve, including this one and the sender
   * @param reply sends a datagram with parts to the sender of the heartbeat
   */
  void heartbeatReceived(
      EntryHeartbeat heartbeat, IntSupplier servingVms, Consumer<Map<ServiceId, Double>> reply) {
    if (heartbeat.getRetryReserveCount() > 0 && giverRuns.add(heartbeat.getIncarnation())) {
      Map<ServiceId, Double> attempts = new HashMap<>();
      for (RetryReservePart part : heartbeat.getRetryReserveList()) {
        attempts.put(new ServiceId(part.getService()), part.getAttempts());
      }
      localReserve.receive(attempts);
    }
    if (heartbeat.getServing() && isFirstFrom(heartbeat)) {
      localReserve.give(
          servingVms.getAsInt(),
          given -> {
            if (!given.isEmpty()) {
              reply.accept(given);
            }
          });
    }
  }

  private boolean isFirstFrom(EntryHeartbeat heartbeat) {
    Long before = servingRuns.put(heartbeat.getVm(), heartbeat.getIncarnation());
    return before == null || before != heartbeat.getIncarnation();
  }
}
