package org.toucanrack.internal.command;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/**
 * Parses addresses of the form {@code IP:PORT}; host names are not resolved. Stateless and
 * thread-safe.
 */
final class SocketAddresses {

  private static final int MAX_PORT = 65_535;

  private SocketAddresses() {}

  /** Returns the address, or reports a fault of the flag. */
  static Optional<InetSocketAddress> parse(Settings settings, Flag flag, String text) {
    Optional<InetSocketAddress> address = parse(text);
    if (address.isEmpty()) {
      settings.addFault(
          "%s has '%s'. Write IP:PORT, for example 10.0.0.1:8080.".formatted(flag, text));
    }
    return address;
  }

  private static Optional<InetSocketAddress> parse(String text) {
    int colon = text.lastIndexOf(':');
    byte[] host = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(host(text, colon));
    String port = text.substring(colon + 1);
    if (host == null || !port.matches("[0-9]{1,5}") || Integer.parseInt(port) > MAX_PORT) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new InetSocketAddress(InetAddress.getByAddress(host), Integer.parseInt(port)));
    } catch (UnknownHostException e) {
      return Optional.empty();
    }
  }

  private static String host(String text, int colon) {
    String host = text.substring(0, colon);
    boolean bracketed = host.startsWith("[") && host.endsWith("]");
    return bracketed ? host.substring(1, host.length() - 1) : host;
  }
}
