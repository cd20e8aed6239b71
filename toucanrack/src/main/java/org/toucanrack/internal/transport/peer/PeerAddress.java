package org.toucanrack.internal.transport.peer;

import java.net.InetSocketAddress;

/**
 * Parses peer addresses of the form {@code ip:port}; IPv6 addresses may be in brackets. Stateless
 * and thread-safe.
 */
final class PeerAddress {

  private PeerAddress() {}

  static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("peer address '" + address + "' must be ip:port");
    }
    String host = address.substring(0, colon).replace("[", "").replace("]", "");
    return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
  }
}
