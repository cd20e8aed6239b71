package org.toucanrack.internal.transport.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import org.toucanrack.internal.state.Member;

/**
 * Settings of a peer transport. Immutable and thread-safe.
 *
 * @param self this VM, as told to peers in the handshake
 * @param listen where to listen; connections to peers start from the same IP number
 * @param secret shared by all VMs of the deployment
 * @param limits bounds and timeouts
 */
public record PeerSettings(Member self, InetSocketAddress listen, String secret, Limits limits) {

  /** Listens on the address that peers are told. */
  public PeerSettings(Member self, String secret, Limits limits) {
    this(self, PeerAddress.parse(self.peersAddress()), secret, limits);
  }

  /** Rejects missing parts. */
  public PeerSettings {
    Objects.requireNonNull(self, "self");
    Objects.requireNonNull(listen, "listen");
    Objects.requireNonNull(limits, "limits");
    if (secret == null || secret.isEmpty()) {
      throw new IllegalArgumentException("the peer secret must not be empty");
    }
  }

  /**
   * Bounds and timeouts of connections.
   *
   * @param maxMessageBytes longest message that is sent or received after the handshake
   * @param maxOutstanding requests without answer on one connection, each way
   * @param maxQueuedBytes bytes that wait for the network on one connection
   * @param handshakeTimeout time from the start of a connection to its authentication
   * @param minBackoff first wait after a failed connection
   * @param maxBackoff longest wait after repeated failures
   * @param maxSilence time without any answer after which a request that timed out makes the next
   *     one use a new connection
   */
  public record Limits(
      int maxMessageBytes,
      int maxOutstanding,
      int maxQueuedBytes,
      Duration handshakeTimeout,
      Duration minBackoff,
      Duration maxBackoff,
      Duration maxSilence) {

    /** Returns the limits used in production. */
    public static Limits standard() {
      return new Limits(
          16 << 20,
          4096,
          64 << 20,
          Duration.ofSeconds(2),
          Duration.ofMillis(100),
          Duration.ofSeconds(2),
          Duration.ofSeconds(3));
    }
  }
}
