package org.toucanrack.steering;

import io.activej.reactor.nio.NioReactor;
import org.toucanrack.internal.transport.relay.ConnectionPool;

/** One platform, as an entry VM uses it. Implementations are thread-safe. */
public interface PlatformBinding {

  /** Returns the header fields of requests and answers. */
  HeaderNames headers();

  /** Returns the decoder of the store's rows. */
  RowCodec rowCodec();

  /** Returns the format of look-ups. */
  LookupFormat lookups();

  /** Opens the store; its calls run on the reactor and use the pool. */
  SharedStore openStore(NioReactor reactor, ConnectionPool pool);
}
