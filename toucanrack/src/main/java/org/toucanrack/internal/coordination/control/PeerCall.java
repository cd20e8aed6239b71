package org.toucanrack.internal.coordination.control;

import java.util.Optional;
import org.toucanrack.internal.state.Member;

/**
 * A request of the control loop to a peer. Immutable and thread-safe.
 *
 * @param kind what is asked
 * @param address where it is sent
 * @param target the member that is expected there; empty for an address without known member
 */
public record PeerCall(Kind kind, String address, Optional<Member> target) {

  static PeerCall to(Kind kind, Member target) {
    return new PeerCall(kind, target.peersAddress(), Optional.of(target));
  }

  /** What is asked. */
  public enum Kind {
    HEARTBEAT,
    PROBE,
    CONFIGURATION_FETCH
  }
}
