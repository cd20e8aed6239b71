package org.toucanrack.internal.transport.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.AbstractHttpConnection;
import io.activej.http.HttpClientConnection;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;

/**
 * Keeps a connection with unread bytes out of ActiveJ's pool. ActiveJ returns such a connection to
 * the pool, where the bytes would become the response of the next request. Its fields are protected
 * and it offers no hook, hence the variable handles. Stateless.
 */
final class ClientConnectionAccess {

  private static final byte KEEP_ALIVE_FLAG = 1;
  private static final VarHandle FLAGS = findField("flags", byte.class);
  private static final VarHandle READ_BUFFER = findField("readBuf", ByteBuf.class);

  private ClientConnectionAccess() {}

  /** Makes the client close the connection after this response if more bytes were received. */
  static void closeIfBytesRemain(HttpClientConnection connection) {
    ByteBuf unread = (ByteBuf) READ_BUFFER.get((AbstractHttpConnection) connection);
    if (unread != null && unread.canRead()) {
      disableKeepAlive(connection);
    }
  }

  /** Makes the client close the connection after this response. */
  static void disableKeepAlive(HttpClientConnection connection) {
    byte flags = (byte) FLAGS.get((AbstractHttpConnection) connection);
    FLAGS.set((AbstractHttpConnection) connection, (byte) (flags & ~KEEP_ALIVE_FLAG));
  }

  private static VarHandle findField(String field, Class<?> type) {
    try {
      return MethodHandles.privateLookupIn(AbstractHttpConnection.class, MethodHandles.lookup())
          .findVarHandle(AbstractHttpConnection.class, field, type);
    } catch (ReflectiveOperationException e) {
      throw new ExceptionInInitializerError(e);
    }
  }
}
