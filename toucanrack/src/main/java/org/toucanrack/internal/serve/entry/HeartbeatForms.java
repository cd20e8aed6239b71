package org.toucanrack.internal.serve.entry;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;

/**
 * Decides which VMs get the short form of a heartbeat.
 *
 * <p>Load pattern: fleets in several failure domains, where most bytes between domains are claims
 * of customers' rates whose customers are the same in each heartbeat.
 *
 * <p>Invariant: a VM gets a short heartbeat only if its release reads them and the same run of it
 * has been sent what is left out. That datagram can be lost, so a VM that cannot read a short
 * heartbeat asks for a whole one. Not thread-safe.
 */
final class HeartbeatForms {

  /**
   * Interval of whole heartbeats. It bounds the time until a VM can be read again whose requests
   * for a whole heartbeat are all lost.
   */
  private static final long WHOLE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final Map<InetSocketAddress, Sent> sent = new HashMap<>();

  /** What a heartbeat to one VM contains. */
  enum Form {
    WHOLE,
    WHOLE_WITH_CLAIMS,
    SHORT,
    /** Short, but with the customers of the claims, which the receiver does not have yet. */
    SHORT_WITH_CLAIMS,
    SHORT_WITH_VALUES
  }

  /** What a run of another VM has been sent. */
  private record Sent(long incarnation, long wholeNanos, OptionalInt customersDigest) {}

  /**
   * Returns the form of the next heartbeat to a VM, which is then sent.
   *
   * @param heard the last heartbeat of that VM
   * @param customersDigest the hash of the customers of the claims, if the heartbeat has claims
   */
  Form next(
      InetSocketAddress target,
      Optional<EntryHeartbeat> heard,
      OptionalInt customersDigest,
      long nowNanos) {
    final Form whole = customersDigest.isPresent() ? Form.WHOLE_WITH_CLAIMS : Form.WHOLE;
    if (heard.isEmpty() || !heard.get().getReadsShort()) {
      sent.remove(target);
      return whole;
    }
    Sent before = sent.get(target);
    long incarnation = heard.get().getIncarnation();
    if (before == null
        || before.incarnation() != incarnation
        || nowNanos - before.wholeNanos() >= WHOLE_INTERVAL_NANOS) {
      sent.put(target, new Sent(incarnation, nowNanos, customersDigest));
      return whole;
    }
    if (customersDigest.isEmpty()) {
      return Form.SHORT;
    }
    if (customersDigest.equals(before.customersDigest())) {
      return Form.SHORT_WITH_VALUES;
    }
    sent.put(target, new Sent(incarnation, before.wholeNanos(), customersDigest));
    return Form.SHORT_WITH_CLAIMS;
  }

  /** Sends the next heartbeat to a VM as a whole. */
  void reset(InetSocketAddress target) {
    sent.remove(target);
  }

  /** Forgets all VMs but these. */
  void retain(Collection<InetSocketAddress> targets) {
    sent.keySet().retainAll(targets);
  }
}
