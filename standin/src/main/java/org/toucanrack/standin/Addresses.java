package org.toucanrack.standin;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Parses listen addresses. */
public final class Addresses {

  private Addresses() {}

  /** Parses {@code HOST:PORT}. */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("address must be HOST:PORT, was " + text);
    }
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Parses {@code HOST:PORT[,PORT...]}; each part without a host has that of the part before. */
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
