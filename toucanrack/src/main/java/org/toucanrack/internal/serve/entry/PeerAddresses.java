package org.toucanrack.internal.serve.entry;

import java.net.InetSocketAddress;

/** Formats and parses the addresses in heartbeats, {@code IP:PORT}. Stateless and thread-safe. */
final class PeerAddresses {

  private PeerAddresses() {}

  static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
