package org.toucanrack.standin;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Parses addresses and lists of addresses from the command line. */
public final class Addresses {

  private Addresses() {}

  /**
   * Parses {@code HOST:PORT}.
   *
   * @throws IllegalArgumentException if the text has no host or no valid port
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("address must be HOST:PORT, was " + text);
    }
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /**
   * Parses {@code HOST:PORT[,[HOST:]PORT...]}; an element without a host takes the host of the
   * previous element.
   */
  public static List<InetSocketAddress> parseList(String text) {
    List<InetSocketAddress> addresses = new ArrayList<>();
    String host = null;
    for (String part : text.split(",")) {
      InetSocketAddress address = parse(part.contains(":") ? part : host + ":" + part);
      host = address.getHostString();
      addresses.add(address);
    }
    return addresses;
  }
}
