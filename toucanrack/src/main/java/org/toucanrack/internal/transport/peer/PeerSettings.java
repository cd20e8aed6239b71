package org.toucanrack.internal.transport.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import org.toucanrack.internal.state.Member;

/**
 * Settings of a peer transport. Immutable and thread-safe.
 *
 * @param self this VM, as described to peers in the handshake
 * @param listen address to listen on; outgoing connections use the same source IP address
 * @param secret secret shared by all VMs of the deployment
 * @param limits bounds and timeouts
 */
public record PeerSettings(Member self, InetSocketAddress listen, String secret, Limits limits) {

  /** Creates settings that listen on the advertised peer address. */
  public PeerSettings(Member self, String secret, Limits limits) {
    this(self, PeerAddress.parse(self.peersAddress()), secret, limits);
  }

  /** Rejects null components and an empty secret. */
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
   * @param maxMessageBytes maximum size of a message after the handshake
   * @param maxOutstanding maximum number of unanswered requests per connection and direction
   * @param maxQueuedBytes high water mark of the write buffer of a connection
   * @param handshakeTimeout time limit for connecting, and for authenticating a new connection
   * @param minBackoff reconnect backoff after the first failure
   * @param maxBackoff maximum reconnect backoff after repeated failures
   * @param maxSilence time without a received message after which a timed-out request causes the
   *     next one to open a new connection
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
