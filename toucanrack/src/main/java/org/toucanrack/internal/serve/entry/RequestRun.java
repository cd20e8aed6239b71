package org.toucanrack.internal.serve.entry;

import io.activej.reactor.schedule.ScheduledRunnable;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.toucanrack.Verdict;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.coordination.steer.ServerChooser;
import org.toucanrack.internal.coordination.steer.ServerState;
import org.toucanrack.internal.coordination.steer.StableHash;
import org.toucanrack.internal.coordination.steer.TrialEvidence.Result;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.internal.transport.relay.ConnectionPool.Call;
import org.toucanrack.internal.transport.relay.ConnectionPool.CorrelationHeader;
import org.toucanrack.internal.transport.relay.RequestHandler;
import org.toucanrack.internal.transport.relay.ResponseListener;
import org.toucanrack.steering.CustomerRule;
import org.toucanrack.steering.RouteRule;
import org.toucanrack.steering.ServiceRule;

/**
 * One admitted request from its first attempt to its answer.
 *
 * <p>Invariants: a request that is not idempotent is sent again only after an attempt that
 * certainly did not run; the caller gets one answer, at the route's timeout at the latest; what is
 * answered as not run has not run. Confined to the traffic thread.
 */
final class RequestRun {

  /** Connecting takes one round trip; a server that needs longer is cut off or overrun. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  /** Time by which a server's deadline ends before ours, so that its own answer still arrives. */
  private static final long SERVER_MARGIN_MS = 15;

  /** Servers that could not be reached at all, after which the request is refused. */
  private static final int MAX_UNREACHED = 3;

  /** An answer this many times later than its objective tells of a slow server. */
  private static final double SLOW_FACTOR = 2;

  private static final int MISDIRECTED = 421;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  private final TrafficSide side;
  private final RequestHandler.Exchange exchange;
  private final HttpMessage request;
  private final String requestId;
  private final RouteRule route;
  private final Optional<CustomerRule> customer;
  private final ServiceId service;
  private final ServiceRule serviceRule;
  private final Set<RegionId> homes;
  private final String object;
  private final long startNanos;
  private final long endNanos;
  private final Set<BackendServerId> tried = new HashSet<>();
  private int sends;
  private int unreached;
  private Verdict lastVerdict = Verdict.NOT_RUN;
  private boolean mayHaveRun;
  private HttpMessage failureAnswer;
  private ServerState server;
  private ServerState.SentAttempt sent;
  private Call call;
  private ScheduledRunnable timer;
  private boolean finished;

  RequestRun(
      TrafficSide side,
      RequestHandler.Exchange exchange,
      HttpMessage request,
      String requestId,
      RouteRule route,
      Optional<CustomerRule> customer,
      ServiceRule serviceRule,
      Set<RegionId> homes,
      String object,
      long startNanos,
      long endNanos) {
    this.side = side;
    this.exchange = exchange;
    this.request = request;
    this.requestId = requestId;
    this.route = route;
    this.customer = customer;
    this.service = serviceRule.id();
    this.serviceRule = serviceRule;
    this.homes = homes;
    this.object = object;
    this.startNanos = startNanos;
    this.endNanos = endNanos;
  }

  void start() {
    side.running(this);
    side.state().retries(service).recordRequest(startNanos);
    exchange.onAbandoned(this::abandoned);
    long left = Math.max(1, TimeUnit.NANOSECONDS.toMillis(endNanos - side.now()));
    timer = side.reactor().delayBackground(left, this::timedOut);
    attempt();
  }

  private void attempt() {
    long now = side.now();
    ServerChooser.Choice choice =
        side.choose(
            new ServerChooser.Attempt(
                service,
                serviceRule,
                object,
                homes,
                tried,
                route.objective().toNanos(),
                endNanos - now,
                priority()),
            now);
    if (choice instanceof ServerChooser.Choice.Use use) {
      send(use, now);
    } else {
      refuse(choice.reason());
    }
  }

  private int priority() {
    return customer.map(CustomerRule::priority).orElse(route.priority());
  }

  private void send(ServerChooser.Choice.Use choice, long now) {
    ServerState chosen = choice.server();
    server = chosen;
    sent = chosen.recordSent(StableHash.hash(object), now);
    BackendServerId id = chosen.announced().id();
    tried.add(id);
    sends++;
    long leftMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - now) - SERVER_MARGIN_MS;
    HttpMessage forwarded =
        side.headers()
            .toServer(
                request,
                id,
                customer.map(CustomerRule::id),
                side.state().rules().map(index -> index.needsKeys()).orElse(true),
                Math.max(1, leftMillis));
    if (sends > 1 || DecisionLog.samples(requestId)) {
      side.log()
          .request(
              "send",
              requestId,
              "attempt",
              sends,
              "server",
              id,
              "why",
              choice.reason(),
              "knows_object",
              choice.affinityHit(),
              "load",
              chosen.load(now),
              "wait_ms",
              TimeUnit.NANOSECONDS.toMillis((long) chosen.waitNanos(now)),
              "left_ms",
              leftMillis,
              "rules",
              side.rulesVersion());
    }
    ServerState attempted = chosen;
    ServerState.SentAttempt attempt = sent;
    boolean hasBody = forwarded.body().length > 0 || !request.method().equals("GET");
    call =
        side.pool()
            .send(
                chosen.announced().address(),
                forwarded.encoded(hasBody),
                new CorrelationHeader(side.names().requestId(), requestId),
                CONNECT_TIMEOUT,
                new ResponseListener() {
                  @Override
                  public void onResponse(HttpMessage answer) {
                    RequestRun.this.answered(attempted, attempt, answer);
                  }

                  @Override
                  public void onFailure(CallFailure failure, String reason) {
                    RequestRun.this.failed(attempted, attempt, failure, reason);
                  }
                });
  }

  private void answered(ServerState from, ServerState.SentAttempt sent, HttpMessage answer) {
    long now = side.now();
    side.learnLoad(from, answer, now);
    int status = answer.status();
    boolean notRun = answer.field(side.names().notRun()).isPresent() || status == MISDIRECTED;
    if (notRun) {
      lastVerdict = Verdict.NOT_RUN;
      if (status == MISDIRECTED) {
        from.recordFailure(sent, now, false, serviceRule.coldPeriod());
        side.pool().closeIdle(from.announced().address());
      } else {
        from.recordShed(sent, now);
      }
      retryOrRefuse("not-run-" + status);
      return;
    }
    if (!isTrustworthy(answer)) {
      from.recordFailure(sent, now, true, serviceRule.coldPeriod());
      side.countTrial(this, from, Result.FAILED);
      retryOrFail("spoiled-answer-" + status);
      return;
    }
    lastVerdict = Verdict.RAN;
    mayHaveRun = true;
    boolean good = status < FIRST_SERVER_ERROR;
    from.recordAnswer(sent, now, good);
    side.countTrial(this, from, resultOf(status, now - sent.sentNanos()));
    if (!good && mayRetry(now)) {
      failureAnswer = side.headers().toCaller(answer);
      retry("server-error-" + status);
      return;
    }
    finish("answered", side.headers().toCaller(answer));
  }

  /**
   * A refusal without the mark that it did not run, or a success without signature, is no answer.
   */
  private boolean isTrustworthy(HttpMessage answer) {
    int status = answer.status();
    boolean promises =
        status == TOO_MANY_REQUESTS || status == UNAVAILABLE || status == REQUEST_TIMEOUT;
    return !promises
        && answer.field(side.names().signature()).isPresent()
        && answer.field("Content-Encoding").isEmpty();
  }

  private void failed(
      ServerState from,
      ServerState.SentAttempt sent,
      ResponseListener.CallFailure failure,
      String reason) {
    long now = side.now();
    boolean connected = failure == ResponseListener.CallFailure.NO_ANSWER;
    from.recordFailure(sent, now, connected, serviceRule.coldPeriod());
    if (!connected) {
      side.pool().closeIdle(from.announced().address());
      sends--;
      unreached++;
      side.log().request("unreached", requestId, "server", from.announced().id(), "why", reason);
      if (unreached < MAX_UNREACHED && now < endNanos) {
        attempt();
      } else {
        refuse("servers-unreached");
      }
      return;
    }
    side.countTrial(this, from, Result.FAILED);
    retryOrFail(reason);
  }

  private Result resultOf(int status, long tookNanos) {
    if (status == GATEWAY_TIMEOUT) {
      return Result.SLOW;
    }
    if (status >= FIRST_SERVER_ERROR) {
      return Result.FAILED;
    }
    return tookNanos > SLOW_FACTOR * route.objective().toNanos() ? Result.SLOW : Result.GOOD;
  }

  private boolean mayRetry(long now) {
    boolean allowed =
        lastVerdict == Verdict.RAN
            ? route.idempotent()
            : lastVerdict.allowsRepeat(route.idempotent());
    return allowed
        && sends < route.maxAttempts()
        && endNanos - now > route.objective().toNanos() / 2
        && side.state().retries(service).tryAcquire(now, side.state().vms());
  }

  private void retryOrRefuse(String why) {
    if (mayRetry(side.now())) {
      retry(why);
    } else {
      refuse(why);
    }
  }

  private void retryOrFail(String why) {
    lastVerdict = Verdict.MAY_HAVE_RUN;
    mayHaveRun = true;
    if (mayRetry(side.now())) {
      retry(why);
    } else {
      refuse(why);
    }
  }

  private void retry(String why) {
    side.log().request("retry", requestId, "after", why, "sends", sends, "verdict", lastVerdict);
    attempt();
  }

  /** Refuses a request that has not run; one whose earlier attempt may have run gets no promise. */
  private void refuse(String why) {
    if (!mayHaveRun) {
      customer.ifPresent(payer -> side.state().rates().refund(payer));
      finish(why, OwnAnswers.notRun(UNAVAILABLE, retryAfter()));
    } else {
      finish(why, failureAnswer == null ? OwnAnswers.plain(BAD_GATEWAY) : failureAnswer);
    }
  }

  /** Spreads the return of refused requests over about one latency objective. */
  private Duration retryAfter() {
    long objective = route.objective().toMillis();
    return Duration.ofMillis(objective / 4 + ThreadLocalRandom.current().nextLong(objective / 2));
  }

  private void timedOut() {
    if (finished) {
      return;
    }
    cancelCall();
    if (sends == 0) {
      refuse("timeout-unsent");
    } else {
      side.countTrial(this, server, Result.SLOW);
      finish("timeout", OwnAnswers.plain(GATEWAY_TIMEOUT));
    }
  }

  private void abandoned() {
    if (!finished) {
      cancelCall();
      finished = true;
      cleanUp();
      side.log().request("abandoned", requestId, "after_ms", elapsedMillis());
    }
  }

  private void cancelCall() {
    if (call != null) {
      call.cancel();
      server.recordAbandoned(sent);
    }
  }

  private void finish(String outcome, HttpMessage answer) {
    if (finished) {
      return;
    }
    finished = true;
    cleanUp();
    int status = answer.status();
    side.finished(this, status, elapsedMillis());
    if (status >= BAD_GATEWAY || status == TOO_MANY_REQUESTS || DecisionLog.samples(requestId)) {
      side.log()
          .request(
              "answer",
              requestId,
              "status",
              status,
              "why",
              outcome,
              "route",
              route.name(),
              "customer",
              customer.map(CustomerRule::id).map(CustomerId::value).orElse("-"),
              "server",
              server == null ? "-" : server.announced().id(),
              "sends",
              sends,
              "ms",
              elapsedMillis(),
              "server_ms",
              sends == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(side.now() - sent.sentNanos()),
              "rules",
              side.rulesVersion());
    }
    exchange.respond(answer);
  }

  private void cleanUp() {
    if (timer != null) {
      timer.cancel();
    }
    side.ended(this);
  }

  private long elapsedMillis() {
    return TimeUnit.NANOSECONDS.toMillis(side.now() - startNanos);
  }

  RouteRule route() {
    return route;
  }

  ServiceId service() {
    return service;
  }

  Optional<CustomerRule> customer() {
    return customer;
  }

  InetSocketAddress serverAddress() {
    return server.announced().address();
  }
}
