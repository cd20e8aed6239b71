package org.toucanrack.internal.transport.peer;

import io.netty.channel.ChannelHandlerContext;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/** Logs events of peer connections. Stateless and thread-safe. */
final class PeerLog {

  private static final Logger LOGGER = System.getLogger(PeerLog.class.getName());

  private PeerLog() {}

  static void warn(String format, ChannelHandlerContext context) {
    LOGGER.log(Level.WARNING, "[peer] " + format, context.channel().remoteAddress());
  }

  static void warn(String message, Throwable cause) {
    LOGGER.log(Level.WARNING, "[peer] " + message, cause);
  }

  static void connectionClosed(ChannelHandlerContext context, Throwable cause) {
    Level level = cause instanceof IOException ? Level.DEBUG : Level.WARNING;
    LOGGER.log(
        level, "[peer] Closed the connection with {0}: {1}", context.channel(), cause.toString());
  }
}
