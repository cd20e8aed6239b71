package org.toucanrack.internal.serve.entry;

import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.coordination.duty.UsageCounter;
import org.toucanrack.internal.coordination.steer.FleetSnapshot;
import org.toucanrack.internal.coordination.steer.HomeRegions;
import org.toucanrack.internal.coordination.steer.RateShares;
import org.toucanrack.internal.coordination.steer.RuleIndex;
import org.toucanrack.internal.coordination.steer.ServerChooser;
import org.toucanrack.internal.coordination.steer.ServerState;
import org.toucanrack.internal.coordination.steer.SmallRatePolicy;
import org.toucanrack.internal.coordination.steer.TrialEvidence;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.internal.serve.entry.TrafficBytes.Purpose;
import org.toucanrack.internal.transport.relay.ConnectionPool;
import org.toucanrack.internal.transport.relay.HttpListener;
import org.toucanrack.internal.transport.relay.ListenerBudgets;
import org.toucanrack.internal.transport.relay.ListenerLimits;
import org.toucanrack.internal.transport.relay.RequestHandler;
import org.toucanrack.internal.transport.relay.TransferCounter;
import org.toucanrack.steering.CallerLimits;
import org.toucanrack.steering.CustomerRule;
import org.toucanrack.steering.EntrySettings;
import org.toucanrack.steering.HeaderNames;
import org.toucanrack.steering.RouteRule;
import org.toucanrack.steering.ServiceRule;

/**
 * Authenticates the requests of callers, admits them within the rate of their customer and runs
 * them. Confined to the traffic thread.
 */
final class TrafficHandler implements RequestHandler {

  /** Limits on the header and body of a server's answer; a larger answer counts as failed. */
  private static final int MAX_ANSWER_HEAD_BYTES = 32 * 1024;

  private static final long MAX_ANSWER_BODY_BYTES = 4L * 1024 * 1024;

  /** Share of the heap for unfinished answers; a connection may use a quarter of what is free. */
  private static final double ANSWER_HEAP_FRACTION = 0.2;

  /**
   * Callers retry after this time while this VM has no configuration: about one read of the store.
   */
  private static final Duration UNCONFIGURED_RETRY_AFTER = Duration.ofMillis(300);

  /** Callers retry after this time on a route without destinations; operators have to mend it. */
  private static final Duration UNAVAILABLE_RETRY_AFTER = Duration.ofSeconds(5);

  /**
   * Longest time after the start for which requests wait for the first configuration. A read of the
   * store takes about 0.2 s at the start; a VM without a configuration after this time may have
   * none for long, so that it refuses requests at once.
   */
  private static final long STARTUP_WAIT_MS = 800;

  /** A request may wait for a token for its latency objective divided by this. */
  private static final int TOKEN_WAIT_DIVISOR = 4;

  /** Callers that reach a stopping VM retry after this time; another VM can take them at once. */
  private static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(20);

  /** Short enough to show a burst, long enough to log less than one line per second and service. */
  private static final long STEERING_REPORT_INTERVAL_MS = 2000;

  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final NioReactor reactor;
  private final HeaderNames names;
  private final RequestAttributes attributes;
  private final ForwardedHeaders headers;
  private final TrafficState state;
  private final ConnectionPool pool;
  private final DecisionLog log;
  private final EntryMetrics metrics;
  private final SteeringReporter steeringReporter;
  private final ServerNotices notices;
  private final ServerLoadReader serverLoads;
  private final HttpListener listener;
  private final Set<RequestRun> runningRequests = new HashSet<>();
  private final TokenWaitQueue tokenWaitQueue;
  private final StartupQueue startupQueue = new StartupQueue();
  private final UsageCounter usageCounter;
  private boolean refusing;

  TrafficHandler(
      NioReactor reactor,
      EntrySettings settings,
      HeaderNames names,
      DecisionLog log,
      EntryMetrics metrics,
      Consumer<CustomerId> tokenRequester,
      Optional<UsageCounter> usageCounter) {
    this.reactor = reactor;
    this.names = names;
    this.attributes = new RequestAttributes(names);
    this.headers = new ForwardedHeaders(names);
    this.state = new TrafficState(settings, now());
    this.pool =
        new ConnectionPool(
                reactor,
                MAX_ANSWER_HEAD_BYTES,
                MAX_ANSWER_BODY_BYTES,
                (long) (ANSWER_HEAP_FRACTION * Runtime.getRuntime().maxMemory()))
            .counting(this::serverBytes);
    this.log = log;
    this.metrics = metrics;
    this.steeringReporter = new SteeringReporter(log, metrics);
    this.serverLoads = new ServerLoadReader(names.serverLoad(), log, steeringReporter);
    this.notices = new ServerNotices(names, pool, log, metrics);
    this.usageCounter = usageCounter.orElse(null);
    this.tokenWaitQueue =
        new TokenWaitQueue(
            SmallRatePolicy.CURRENT,
            reactor::delayBackground,
            this::now,
            tokenRequester,
            this::takeToken);
    this.listener =
        new HttpListener(
            reactor,
            settings.endpoints().callers(),
            this,
            this::listenerLimits,
            ListenerBudgets.ofCallers(Runtime.getRuntime().maxMemory()),
            new ListenerReporter(names, log, metrics));
  }

  void listen() {
    listener.listen();
    reactor.delayBackground(STEERING_REPORT_INTERVAL_MS, this::reportSteering);
    reactor.delayBackground(STARTUP_WAIT_MS, startupQueue::expire);
  }

  /** Adopts the rules, servers and trials that the control thread published. */
  void adopt(FleetSnapshot snapshot) {
    state.adopt(snapshot, now());
    if (snapshot.rules().isPresent() && !snapshot.servers().isEmpty()) {
      startupQueue.release();
    }
  }

  private TransferCounter serverBytes(InetSocketAddress server) {
    return metrics
        .trafficBytes()
        .counter(Purpose.REQUESTS, Purpose.ANSWERS, state.distanceOf(server));
  }

  private boolean takeToken(CustomerId customer) {
    return state.takeToken(customer, now());
  }

  private void reportSteering() {
    steeringReporter.report(state::overflowShare);
    steeringReporter.reportPlacement(state::domainOverflowShare);
    metrics.setConnectionMemory("callers", listener.memory());
    metrics.setConnectionMemory("servers", pool.memory());
    metrics.setUnsentResponseBytes(listener.unsentResponseBytes());
    reactor.delayBackground(STEERING_REPORT_INTERVAL_MS, this::reportSteering);
  }

  /** Refuses new requests from now on, since the process ends before they could be answered. */
  void refuseNewRequests() {
    refusing = true;
  }

  /**
   * Called when a token request for a customer's rate has ended, with whether another VM lent one.
   */
  void tokenLoanCompleted(CustomerId customer, boolean lent) {
    tokenWaitQueue.loanCompleted(customer, lent, now());
  }

  HttpListener listener() {
    return listener;
  }

  int runningRequests() {
    return runningRequests.size();
  }

  @Override
  public void handle(HttpMessage request, Exchange exchange) {
    long now = now();
    state.countRequest(now);
    boolean waits = false;
    if (!refusing) {
      StartupRequest waitingRequest = new StartupRequest(request, exchange, now);
      waits = startupQueue.enqueue(waitingRequest);
      if (waits) {
        exchange.onAbandoned(() -> startupQueue.remove(waitingRequest));
      }
    }
    if (!waits) {
      authenticateAndAdmit(request, exchange, now);
    }
  }

  private final class StartupRequest implements StartupQueue.WaitingRequest {

    private final HttpMessage request;
    private final Exchange exchange;
    private final long arrivedNanos;

    StartupRequest(HttpMessage request, Exchange exchange, long arrivedNanos) {
      this.request = request;
      this.exchange = exchange;
      this.arrivedNanos = arrivedNanos;
    }

    @Override
    public long bodyBytes() {
      return request.body().length;
    }

    @Override
    public void released() {
      authenticateAndAdmit(request, exchange, arrivedNanos);
    }

    @Override
    public void expired() {
      authenticateAndAdmit(request, exchange, arrivedNanos);
    }
  }

  private void authenticateAndAdmit(HttpMessage request, Exchange exchange, long arrivedNanos) {
    Optional<RuleIndex> rules = state.rules();
    String requestId = request.field(names.requestId()).orElse("-");
    if (refusing) {
      refuse(exchange, requestId, "stopping", UNAVAILABLE, STOPPING_RETRY_AFTER);
      return;
    }
    if (rules.isEmpty()) {
      refuse(exchange, requestId, "no-configuration", UNAVAILABLE, UNCONFIGURED_RETRY_AFTER);
      return;
    }
    Optional<RouteRule> route =
        rules.get().route(request.field("Host").orElse(""), request.target());
    if (route.isEmpty()) {
      reject(exchange, requestId, "no-route", NOT_FOUND);
      return;
    }
    if (route.get().destinations().isEmpty()) {
      refuse(exchange, requestId, "route-unavailable", UNAVAILABLE, UNAVAILABLE_RETRY_AFTER);
      return;
    }
    Optional<CustomerRule> customer = attributes.customer(request, rules.get());
    if (customer.isEmpty() && rules.get().needsKeys() && !route.get().open()) {
      reject(exchange, requestId, "unknown-key", UNAUTHORIZED);
      return;
    }
    if (customer.isEmpty()) {
      run(request, exchange, requestId, rules.get(), route.get(), customer, arrivedNanos);
      return;
    }
    long now = now();
    RateShares.Decision decision = state.rates().admit(customer.get(), now);
    TokenWaitQueue.WaitingRequest waitingRequest =
        new TokenWaitQueue.WaitingRequest() {
          @Override
          public void admitted() {
            run(request, exchange, requestId, rules.get(), route.get(), customer, arrivedNanos);
          }

          @Override
          public void refused() {
            refuseForRate(exchange, requestId, customer.get(), decision);
          }
        };
    if (decision.admitted() || tokenWaitQueue.takeLateLoan(customer.get().id(), now)) {
      waitingRequest.admitted();
    } else if (tokenWaitQueue.enqueue(
        customer.get().id(), waitingRequest, maxTokenWait(decision, route.get()), now)) {
      exchange.onAbandoned(() -> tokenWaitQueue.remove(customer.get().id(), waitingRequest));
    } else {
      waitingRequest.refused();
    }
  }

  /** Returns how long a request may wait for a token; zero if the customer is above its rate. */
  private static Duration maxTokenWait(RateShares.Decision decision, RouteRule route) {
    return decision.mayWait()
        ? route.latencyObjective().dividedBy(TOKEN_WAIT_DIVISOR)
        : Duration.ZERO;
  }

  private void refuseForRate(
      Exchange exchange, String requestId, CustomerRule customer, RateShares.Decision decision) {
    log.request(
        "rate-refused",
        requestId,
        "customer",
        customer.id(),
        "share",
        decision.share(),
        "rules",
        rulesVersion());
    metrics.countRefusal("rate");
    exchange.respond(LocalResponses.notRun(TOO_MANY_REQUESTS, decision.retryAfter()));
  }

  private void run(
      HttpMessage request,
      Exchange exchange,
      String requestId,
      RuleIndex rules,
      RouteRule route,
      Optional<CustomerRule> customer,
      long now) {
    ServiceId service = state.nextService(route);
    ServiceRule rule =
        rules.service(service).orElseGet(() -> new ServiceRule(service, 1, Duration.ZERO, 1));
    new RequestRun(
            this,
            exchange,
            new AdmittedRequest(
                rules,
                request,
                requestId,
                route,
                customer,
                rule,
                HomeRegions.of(route, customer),
                attributes.objectId(request).orElse(requestId),
                now,
                now + attributes.timeout(request, route).toNanos()))
        .start();
  }

  private void refuse(
      Exchange exchange, String requestId, String why, int status, Duration retryAfter) {
    log.request("answer", requestId, "status", status, "why", why);
    metrics.countRefusal(why);
    exchange.respond(LocalResponses.notRun(status, retryAfter));
  }

  private void reject(Exchange exchange, String requestId, String why, int status) {
    log.request("answer", requestId, "status", status, "why", why, "rules", rulesVersion());
    metrics.countRefusal(why);
    exchange.respond(LocalResponses.statusOnly(status));
  }

  /**
   * Returns the regions that may run a request now. Rules may have changed since its arrival, while
   * it waited or another attempt ran; then only regions that both allow are left.
   */
  HomeRegions allowedRegions(AdmittedRequest request) {
    return state
        .rules()
        .filter(current -> current != request.rules())
        .map(current -> request.homeRegions().and(attributes.homeRegions(request, current)))
        .orElse(request.homeRegions());
  }

  /** Returns whether the key of a request has moved to another customer since its arrival. */
  boolean isOfOtherCustomer(AdmittedRequest request) {
    return state
        .rules()
        .filter(current -> current != request.rules())
        .filter(current -> attributes.isOfOtherCustomer(request, current))
        .isPresent();
  }

  void updateServerLoad(ServerState server, HttpMessage answer, long now) {
    serverLoads.record(server, answer, now);
  }

  /**
   * Counts a result for the trial of a version. Results of cold servers are left out, since they
   * say nothing about the version.
   */
  void countTrial(RequestRun run, ServerState server, TrialEvidence.Result result) {
    if (!server.isCold(now())) {
      state.countTrial(run.service(), run.route().name(), server.announced().version(), result);
    }
  }

  /** Counts an attempt that is sent to a server, if usage is reported. */
  void countSent(Optional<CustomerRule> customer, long now) {
    if (usageCounter != null && customer.isPresent()) {
      usageCounter.countSent(customer.get().id(), now);
    }
  }

  /** Takes back the count of an attempt that has not run. */
  void countNotRun(Optional<CustomerRule> customer, ServerState.SentAttempt sent) {
    if (usageCounter != null && customer.isPresent()) {
      usageCounter.countNotRun(customer.get().id(), sent.sentNanos());
    }
  }

  ServerChooser.Choice choose(ServerChooser.Attempt attempt, long now) {
    ServerChooser.Choice choice = state.choose(attempt, now);
    steeringReporter.recordChoice(attempt.service(), choice);
    return choice;
  }

  /** Reports that the requests of a service are limited by scarcity from now on, or no longer. */
  void scarcityChanged(ServiceId service, boolean scarce) {
    log.event(scarce ? "scarcity-began" : "scarcity-ended", "service", service);
    metrics.countScarcity(service, scarce);
  }

  void countShed(ServiceId service, int rank) {
    metrics.countShed(service, rank);
  }

  void runStarted(RequestRun run) {
    runningRequests.add(run);
  }

  void runEnded(RequestRun run) {
    runningRequests.remove(run);
  }

  void recordAnswer(RequestRun run, int status, long millis) {
    metrics.observeRequest(
        run.route().name(),
        run.customer().map(CustomerRule::id).map(CustomerId::value).orElse("none"),
        status,
        millis);
  }

  long rulesVersion() {
    return state.rules().map(index -> index.rules().version()).orElse(0L);
  }

  private ListenerLimits listenerLimits() {
    CallerLimits limits =
        state.rules().map(index -> index.rules().limits()).orElse(CallerLimits.DEFAULT);
    return new ListenerLimits(
        limits.maxHeadBytes(),
        limits.maxBodyBytes(),
        limits.requestTimeout(),
        limits.idleTimeout());
  }

  NioReactor reactor() {
    return reactor;
  }

  HeaderNames names() {
    return names;
  }

  ForwardedHeaders headers() {
    return headers;
  }

  TrafficState state() {
    return state;
  }

  ServerNotices notices() {
    return notices;
  }

  ConnectionPool pool() {
    return pool;
  }

  DecisionLog log() {
    return log;
  }

  long now() {
    return System.nanoTime();
  }
}
