package org.toucanrack.standin.platform;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The faults currently injected into the platform. An update changes only the fields that are
 * present in the request. Thread-safe.
 */
final class PlatformFaults {

  /** The way in which calls fail during an outage. */
  enum OutageKind {
    /** Closes the connection without a response, before the call takes effect. */
    CLOSE,
    /** Responds with 503 before the call takes effect. */
    ANSWER
  }

  /** The JSON body of {@code POST /fault}. */
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

  /**
   * Returns whether to drop the response to the current commit; if so, decrements the number of
   * responses still to be dropped.
   */
  synchronized boolean consumeLostCommitResponse() {
    if (loseCommitAnswers <= 0) {
      return false;
    }
    loseCommitAnswers--;
    return true;
  }
}
