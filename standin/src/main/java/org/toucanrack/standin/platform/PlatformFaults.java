package org.toucanrack.standin.platform;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The faults that the platform shows at present. Thread-safe.
 *
 * <p>A fault request sets only the fields that it has; others stay as they are.
 */
final class PlatformFaults {

  /** How calls fail during an outage. */
  enum OutageKind {
    /** The connection is closed without an answer, before the call has any effect. */
    CLOSE,
    /** The call is answered with 503, before it has any effect. */
    ANSWER
  }

  /** The body of {@code POST /fault}. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record Request(
      Long outageMillis,
      OutageKind outageKind,
      Long delayMillis,
      Integer loseCommitAnswers,
      Set<String> refuseClients,
      Boolean freezeVms,
      Boolean freezeMeasurements) {}

  private final LongSupplier nanoTime;
  private long outageEndNanos;
  private OutageKind outageKind = OutageKind.CLOSE;
  private long delayMillis;
  private int loseCommitAnswers;
  private Set<String> refusedClients = Set.of();

  PlatformFaults(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    this.outageEndNanos = nanoTime.getAsLong();
  }

  synchronized void update(Request request) {
    if (request.outageMillis() != null) {
      outageEndNanos = nanoTime.getAsLong() + TimeUnit.MILLISECONDS.toNanos(request.outageMillis());
    }
    if (request.outageKind() != null) {
      outageKind = request.outageKind();
    }
    if (request.delayMillis() != null) {
      delayMillis = request.delayMillis();
    }
    if (request.loseCommitAnswers() != null) {
      loseCommitAnswers = request.loseCommitAnswers();
    }
    if (request.refuseClients() != null) {
      refusedClients = Set.copyOf(request.refuseClients());
    }
  }

  synchronized boolean isOutageActive() {
    return nanoTime.getAsLong() - outageEndNanos < 0;
  }

  synchronized OutageKind outageKind() {
    return outageKind;
  }

  synchronized long delayMillis() {
    return delayMillis;
  }

  synchronized boolean refusesClient(String client) {
    return client != null && refusedClients.contains(client);
  }

  /** Returns whether the answer to the commit at hand is to be lost, and counts it. */
  synchronized boolean consumeLostCommitResponse() {
    if (loseCommitAnswers <= 0) {
      return false;
    }
    loseCommitAnswers--;
    return true;
  }
}
