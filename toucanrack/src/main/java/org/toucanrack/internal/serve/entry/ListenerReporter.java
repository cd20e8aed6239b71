package org.toucanrack.internal.serve.entry;

import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.internal.transport.relay.ListenerObserver;
import org.toucanrack.steering.HeaderNames;

/**
 * Records how pipelined requests are handled in the metrics, and refusals for lack of memory and
 * long holds of responses in the decision log. Confined to the traffic thread.
 */
final class ListenerReporter implements ListenerObserver {

  /**
   * Shorter holds are logged for sampled requests only. Latency objectives are a few hundred
   * milliseconds, so a shorter hold alone makes no answer late.
   */
  static final long LOGGED_HOLD_MS = 100;

  private static final int UNAVAILABLE = 503;

  private final HeaderNames names;
  private final DecisionLog log;
  private final EntryMetrics metrics;

  ListenerReporter(HeaderNames names, DecisionLog log, EntryMetrics metrics) {
    this.names = names;
    this.log = log;
    this.metrics = metrics;
  }

  @Override
  public void startedBehindOthers(HttpMessage request) {
    metrics.countPipelined("concurrent");
  }

  @Override
  public void waitsForOthers(HttpMessage request) {
    metrics.countPipelined("waited");
  }

  @Override
  public void responseHeld(HttpMessage request, long heldMillis) {
    metrics.observeHold(heldMillis);
    String requestId = requestId(request);
    if (heldMillis >= LOGGED_HOLD_MS || DecisionLog.isSampled(requestId)) {
      log.request("response-held", requestId, "held_ms", heldMillis);
    }
  }

  @Override
  public void responseDropped(HttpMessage request) {
    metrics.countPipelined("response-dropped");
    log.request("response-dropped", requestId(request), "why", "memory for unsent answers");
  }

  @Override
  public void cancelledBehindClose(HttpMessage request) {
    metrics.countPipelined("cancelled");
    log.request("cancelled-behind-close", requestId(request));
  }

  @Override
  public void refusedForMemory(HttpMessage head) {
    metrics.countRefusal("memory");
    log.request("answer", requestId(head), "status", UNAVAILABLE, "why", "memory");
  }

  @Override
  public void stalledCallerClosed(long unsentBytes, long stalledMillis) {
    metrics.countStalledCaller();
    log.event("stalled-caller-closed", "unsent_bytes", unsentBytes, "stalled_ms", stalledMillis);
  }

  private String requestId(HttpMessage request) {
    return request.field(names.requestId()).orElse("-");
  }
}
