package org.toucanrack.internal.serve.entry;

import java.time.Duration;
import java.util.Optional;
import org.toucanrack.internal.coordination.steer.ServerState;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.internal.transport.relay.ConnectionPool;
import org.toucanrack.steering.HeaderNames;

/**
 * Reads what servers say in their answers about themselves: that they are leaving, or for how long
 * they want no requests. Confined to the traffic thread.
 */
final class ServerNotices {

  private static final String LEAVING = "1";
  private static final int MISDIRECTED = 421;
  private static final int UNAVAILABLE = 503;

  private final HeaderNames names;
  private final ConnectionPool pool;
  private final DecisionLog log;
  private final EntryMetrics metrics;

  ServerNotices(HeaderNames names, ConnectionPool pool, DecisionLog log, EntryMetrics metrics) {
    this.names = names;
    this.pool = pool;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Records the notices in an answer to a request that waited for it. An answer to a misdirected
   * request comes from another server, and says nothing about the one that was asked.
   */
  void record(ServerState server, HttpMessage answer, long nowNanos) {
    if (answer.status() == MISDIRECTED) {
      return;
    }
    boolean saysLeaving = answer.field(names.serverLeaving()).map(LEAVING::equals).orElse(false);
    if (saysLeaving && !server.isLeaving()) {
      server.recordLeaving();
      pool.closeIdle(server.announced().address());
      metrics.countNotice("leaving");
      log.event("server-leaving", "server", server.announced().id());
    }
    if (answer.status() == UNAVAILABLE && answer.field(RetryAfter.NAME).isPresent()) {
      recordPause(server, answer, nowNanos);
    }
  }

  private void recordPause(ServerState server, HttpMessage refusal, long nowNanos) {
    Optional<Duration> pause = RetryAfter.of(refusal);
    if (pause.isEmpty()) {
      metrics.countNotice("unreadable");
      log.event(
          "retry-after-unreadable",
          "server",
          server.announced().id(),
          "value",
          refusal.field(RetryAfter.NAME).orElse(""));
      return;
    }
    if (!server.isInRequestedPause(nowNanos)) {
      metrics.countNotice("pause");
      log.event("server-pauses", "server", server.announced().id(), "ms", pause.get().toMillis());
    }
    server.recordRequestedPause(pause.get(), nowNanos);
  }

  /** Logs that a server takes requests again; to be called before its answer is recorded. */
  void answered(ServerState server, long nowNanos) {
    if (server.isResuming(nowNanos)) {
      log.event("server-resumes", "server", server.announced().id());
    }
  }
}
