package org.toucanrack.internal.serve.entry;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.internal.coordination.steer.ServerChooser;
import org.toucanrack.internal.coordination.steer.ServerState;
import org.toucanrack.internal.coordination.steer.StableHash;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.internal.transport.relay.ConnectionPool.Call;
import org.toucanrack.internal.transport.relay.ConnectionPool.CorrelationHeader;
import org.toucanrack.internal.transport.relay.ResponseListener;
import org.toucanrack.steering.CustomerRule;

/**
 * One attempt of a request: the server that it is sent to and the call. Confined to the traffic
 * thread.
 */
final class RequestAttempt {

  /** Connecting takes one round trip; a server that needs longer is unreachable or overloaded. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  /**
   * A server's deadline is this much earlier than ours, so that its answer still arrives in time.
   */
  private static final long SERVER_DEADLINE_MARGIN_MS = 15;

  private final TrafficHandler handler;
  private final AdmittedRequest request;
  private final ServerState server;
  private final ServerState.SentAttempt sent;
  private Call call;

  RequestAttempt(TrafficHandler handler, AdmittedRequest request, ServerState server, long now) {
    this.handler = handler;
    this.request = request;
    this.server = server;
    this.sent = server.recordSent(StableHash.hash(request.objectId()), now);
    handler.countSent(request.customer(), now);
  }

  /** Receives the result of an attempt. */
  interface Listener {

    void answered(RequestAttempt attempt, HttpMessage answer);

    void failed(RequestAttempt attempt, ResponseListener.CallFailure failure, String reason);
  }

  /**
   * Sends the request to the server.
   *
   * @param number 1 for the first attempt of the request
   */
  void send(ServerChooser.Choice.Use choice, int number, long now, Listener listener) {
    BackendServerId id = server.announced().id();
    long serverDeadlineMillis =
        TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - now) - SERVER_DEADLINE_MARGIN_MS;
    HttpMessage forwarded =
        handler
            .headers()
            .toServer(
                request.message(),
                id,
                request.customer().map(CustomerRule::id),
                handler.state().rules().map(index -> index.needsKeys()).orElse(true),
                Math.max(1, serverDeadlineMillis));
    if (number > 1 || DecisionLog.isSampled(request.id())) {
      handler
          .log()
          .request(
              "send",
              request.id(),
              "attempt",
              number,
              "server",
              id,
              "why",
              choice.reason(),
              "region",
              server.region(),
              "homes",
              handler.allowedRegions(request).regions(),
              "knows_object",
              choice.affinityHit(),
              "load",
              server.load(now),
              "wait_ms",
              TimeUnit.NANOSECONDS.toMillis((long) server.waitNanos(now)),
              "left_ms",
              serverDeadlineMillis,
              "rules",
              handler.rulesVersion());
    }
    boolean hasBody = forwarded.body().length > 0 || !request.message().method().equals("GET");
    call =
        handler
            .pool()
            .send(
                server.announced().address(),
                forwarded.encoded(hasBody),
                new CorrelationHeader(handler.names().requestId(), request.id()),
                CONNECT_TIMEOUT,
                new ResponseListener() {
                  @Override
                  public void onResponse(HttpMessage answer) {
                    listener.answered(RequestAttempt.this, answer);
                  }

                  @Override
                  public void onFailure(CallFailure failure, String reason) {
                    listener.failed(RequestAttempt.this, failure, reason);
                  }
                });
  }

  void cancel() {
    if (call != null) {
      call.cancel();
      server.recordAbandoned(sent);
    }
  }

  ServerState server() {
    return server;
  }

  ServerState.SentAttempt sent() {
    return sent;
  }
}
