package org.toucanrack.internal.serve.entry;

import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.toucanrack.Verdict;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.coordination.steer.ServerChooser;
import org.toucanrack.internal.coordination.steer.ServerState;
import org.toucanrack.internal.coordination.steer.TrialEvidence.Result;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.internal.transport.relay.RequestHandler;
import org.toucanrack.internal.transport.relay.ResponseListener;
import org.toucanrack.steering.CustomerRule;
import org.toucanrack.steering.RouteRule;

/**
 * One admitted request from its first attempt to its answer.
 *
 * <p>Invariants: a request that is not idempotent is sent again only after an attempt that
 * certainly did not run; the caller gets exactly one answer, at the latest at the route's timeout,
 * unless it abandons the request; a request that is answered as not run has not run. Confined to
 * the traffic thread.
 */
final class RequestRun implements RequestAttempt.Listener {

  /** A request is refused after connecting to this many servers has failed. */
  private static final int MAX_UNREACHED_SERVERS = 3;

  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;

  private final TrafficHandler handler;
  private final RequestHandler.Exchange exchange;
  private final AdmittedRequest request;
  private final ServerSelection selection;
  private final Set<BackendServerId> triedServers = new HashSet<>();
  private int sendCount;
  private int unreachedServers;
  private long untilEligibleMillis;
  private Verdict lastVerdict = Verdict.NOT_RUN;
  private boolean mayHaveRun;
  private HttpMessage lastServerError;
  private RequestAttempt latest;
  private ScheduledRunnable timer;
  private boolean finished;

  RequestRun(TrafficHandler handler, RequestHandler.Exchange exchange, AdmittedRequest request) {
    this.handler = handler;
    this.exchange = exchange;
    this.request = request;
    this.selection = new ServerSelection(handler);
  }

  void start() {
    handler.runStarted(this);
    handler.state().recordRequest(request.service(), request.route(), request.startNanos());
    exchange.onAbandoned(this::abandoned);
    long remainingMillis =
        Math.max(1, TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - handler.now()));
    timer = handler.reactor().delayBackground(remainingMillis, this::timedOut);
    attempt();
  }

  private void attempt() {
    if (handler.isOfOtherCustomer(request)) {
      // The server would be told the customer that no longer holds the key.
      refuse("customer-changed");
      return;
    }
    long now = handler.now();
    ServerChooser.Choice choice = selection.choose(request, triedServers, now);
    if (choice instanceof ServerChooser.Choice.Use use) {
      RequestAttempt attempt = new RequestAttempt(handler, request, use.server(), now);
      latest = attempt;
      triedServers.add(use.server().announced().id());
      sendCount++;
      attempt.send(use, sendCount, now, this);
    } else if (choice instanceof ServerChooser.Choice.None none) {
      refuseWithoutServer(none);
    }
  }

  private void refuseWithoutServer(ServerChooser.Choice.None none) {
    if (!none.excluded().isEmpty()) {
      handler.log().request("servers-excluded", request.id(), "reasons", none.excluded());
    }
    untilEligibleMillis = TimeUnit.NANOSECONDS.toMillis(none.nanosUntilEligible().orElse(0));
    refuse(none.reason());
  }

  @Override
  public void answered(RequestAttempt attempt, HttpMessage answer) {
    ServerState from = attempt.server();
    ServerState.SentAttempt sent = attempt.sent();
    long now = handler.now();
    handler.updateServerLoad(from, answer, now);
    handler.notices().record(from, answer, now);
    int status = answer.status();
    boolean notRun = ServerAnswers.isNotRun(answer, handler.names());
    if (notRun) {
      lastVerdict = Verdict.NOT_RUN;
      handler.countNotRun(request.customer(), sent);
      if (status == ServerAnswers.MISDIRECTED) {
        from.recordFailure(sent, now, false, request.serviceRule().coldPeriod());
        handler.pool().closeIdle(from.announced().address());
      } else {
        from.recordShed(sent, now);
      }
      retryOrRefuse("not-run-" + status);
      return;
    }
    if (!ServerAnswers.isTrustworthy(answer, handler.names())) {
      from.recordFailure(sent, now, true, request.serviceRule().coldPeriod());
      handler.countTrial(this, from, Result.FAILED);
      retryOrFail("spoiled-answer-" + status);
      return;
    }
    lastVerdict = Verdict.RAN;
    mayHaveRun = true;
    boolean succeeded = status < ServerAnswers.FIRST_SERVER_ERROR;
    handler.notices().answered(from, now);
    from.recordAnswer(sent, now, succeeded);
    if (succeeded) {
      selection.recordAnswer(request, sent.serviceNanos(), now);
    }
    handler.countTrial(
        this,
        from,
        ServerAnswers.trialResult(
            status, now - sent.sentNanos(), request.route().latencyObjective().toNanos()));
    if (!succeeded && mayRetry(now)) {
      lastServerError = handler.headers().toCaller(answer);
      retry("server-error-" + status);
      return;
    }
    finish("answered", handler.headers().toCaller(answer));
  }

  @Override
  public void failed(RequestAttempt attempt, ResponseListener.CallFailure failure, String reason) {
    ServerState from = attempt.server();
    ServerState.SentAttempt sent = attempt.sent();
    long now = handler.now();
    boolean connected = failure == ResponseListener.CallFailure.NO_ANSWER;
    from.recordFailure(sent, now, connected, request.serviceRule().coldPeriod());
    if (!connected) {
      handler.countNotRun(request.customer(), sent);
      handler.pool().closeIdle(from.announced().address());
      sendCount--;
      unreachedServers++;
      handler
          .log()
          .request("unreached", request.id(), "server", from.announced().id(), "why", reason);
      if (unreachedServers < MAX_UNREACHED_SERVERS && now < request.deadlineNanos()) {
        attempt();
      } else {
        refuse("servers-unreached");
      }
      return;
    }
    handler.countTrial(this, from, Result.FAILED);
    retryOrFail(reason);
  }

  private boolean mayRetry(long now) {
    boolean allowed =
        lastVerdict == Verdict.RAN
            ? request.route().idempotent()
            : lastVerdict.allowsRetry(request.route().idempotent());
    return allowed
        && sendCount < request.route().maxAttempts()
        && request.deadlineNanos() - now > request.route().latencyObjective().toNanos() / 2
        && handler.state().retryBudget(request.service()).tryAcquire(now);
  }

  private void retryOrRefuse(String why) {
    if (mayRetry(handler.now())) {
      retry(why);
    } else {
      refuse(why);
    }
  }

  private void retryOrFail(String why) {
    lastVerdict = Verdict.MAY_HAVE_RUN;
    mayHaveRun = true;
    if (mayRetry(handler.now())) {
      retry(why);
    } else {
      refuse(why);
    }
  }

  private void retry(String why) {
    handler
        .log()
        .request("retry", request.id(), "after", why, "sends", sendCount, "verdict", lastVerdict);
    attempt();
  }

  /**
   * Ends a request without a server's answer. The response promises that the request has not run
   * only if no earlier attempt may have run.
   */
  private void refuse(String why) {
    if (!mayHaveRun) {
      request.customer().ifPresent(customerRule -> handler.state().rates().refund(customerRule));
      finish(
          why,
          LocalResponses.notRun(
              ServerAnswers.UNAVAILABLE, CallerReturns.spread(request, untilEligibleMillis)));
    } else {
      finish(
          why, lastServerError == null ? LocalResponses.statusOnly(BAD_GATEWAY) : lastServerError);
    }
  }

  private void timedOut() {
    if (finished) {
      return;
    }
    cancelCall();
    if (sendCount == 0) {
      refuse("timeout-unsent");
    } else {
      handler.countTrial(this, latest.server(), Result.SLOW);
      finish("timeout", LocalResponses.statusOnly(GATEWAY_TIMEOUT));
    }
  }

  private void abandoned() {
    if (!finished) {
      cancelCall();
      finished = true;
      cleanUp();
      handler.log().request("abandoned", request.id(), "after_ms", elapsedMillis());
    }
  }

  private void cancelCall() {
    if (latest != null) {
      latest.cancel();
    }
  }

  private void finish(String outcome, HttpMessage answer) {
    if (finished) {
      return;
    }
    finished = true;
    cleanUp();
    int status = answer.status();
    handler.recordAnswer(this, status, elapsedMillis());
    if (status >= BAD_GATEWAY
        || status == ServerAnswers.TOO_MANY_REQUESTS
        || DecisionLog.isSampled(request.id())) {
      handler
          .log()
          .request(
              "answer",
              request.id(),
              "status",
              status,
              "why",
              outcome,
              "route",
              request.route().name(),
              "customer",
              request.customerName(),
              "priority",
              handler.state().priorityRank(request.priority()),
              "server",
              latest == null ? "-" : latest.server().announced().id(),
              "sends",
              sendCount,
              "ms",
              elapsedMillis(),
              "server_ms",
              sendCount == 0
                  ? 0
                  : TimeUnit.NANOSECONDS.toMillis(handler.now() - latest.sent().sentNanos()),
              "rules",
              handler.rulesVersion());
    }
    exchange.respond(answer);
  }

  private void cleanUp() {
    if (timer != null) {
      timer.cancel();
    }
    handler.runEnded(this);
  }

  private long elapsedMillis() {
    return TimeUnit.NANOSECONDS.toMillis(handler.now() - request.startNanos());
  }

  RouteRule route() {
    return request.route();
  }

  ServiceId service() {
    return request.service();
  }

  Optional<CustomerRule> customer() {
    return request.customer();
  }
}
