package org.toucanrack.internal.transport.relay;

import java.net.InetSocketAddress;

/** Counts the bytes of the calls to one address. Implementations are thread-safe. */
public interface TransferCounter {

  /** Counts nothing. */
  TransferCounter NONE =
      new TransferCounter() {
        @Override
        public void sent(long bytes) {}

        @Override
        public void received(long bytes) {}
      };

  /** Called with the bytes of a request that is sent. */
  void sent(long bytes);

  /** Called with bytes of answers as they are received. */
  void received(long bytes);

  /** Returns the counter of an address; called once for each connection. */
  @FunctionalInterface
  interface Source {

    /** Returns the counter of an address. */
    TransferCounter counterFor(InetSocketAddress address);
  }
}
