package org.toucanrack.internal.coordination.control;

import java.util.Optional;
import org.toucanrack.internal.state.Member;

/**
 * A request of the control loop to a peer. Immutable and thread-safe.
 *
 * @param kind the type of the request
 * @param address where it is sent
 * @param target the member that is expected at the address; empty if none is known
 */
public record PeerCall(Kind kind, String address, Optional<Member> target) {

  static PeerCall to(Kind kind, Member target) {
    return new PeerCall(kind, target.peersAddress(), Optional.of(target));
  }

  /** The type of a request. */
  public enum Kind {
    HEARTBEAT,
    PROBE,
    CONFIGURATION_FETCH
  }
}
