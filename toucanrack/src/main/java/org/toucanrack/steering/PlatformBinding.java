package org.toucanrack.steering;

import io.activej.reactor.nio.NioReactor;
import java.util.Optional;
import org.toucanrack.internal.transport.relay.ConnectionPool;

/** The formats and the store of one platform, for an entry VM. Implementations are thread-safe. */
public interface PlatformBinding {

  /** Returns the names of the header fields of requests and answers. */
  HeaderNames headers();

  /** Returns the codec for the rows of the store. */
  RowCodec rowCodec();

  /** Returns the format of look-ups. */
  LookupFormat lookupFormat();

  /** Opens the store. Its calls must be made on the thread of the reactor; they use the pool. */
  SharedStore openStore(NioReactor reactor, ConnectionPool pool);

  /**
   * Opens the endpoint for usage reports; empty if the platform asks for none. Its calls must be
   * made on the thread of the reactor; they use the pool.
   */
  default Optional<UsageSink> openUsageSink(NioReactor reactor, ConnectionPool pool) {
    return Optional.empty();
  }
}
