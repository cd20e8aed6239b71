package org.toucanrack.internal.serve.entry;

import io.activej.eventloop.Eventloop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.coordination.duty.ReportWindows;
import org.toucanrack.internal.coordination.duty.UsageCounter;
import org.toucanrack.internal.coordination.steer.RateShares;
import org.toucanrack.internal.coordination.steer.TrialEvidence;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.message.HttpField;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.internal.transport.relay.ConnectionPool;
import org.toucanrack.internal.transport.relay.HttpListener;
import org.toucanrack.internal.transport.relay.ListenerBudgets;
import org.toucanrack.internal.transport.relay.ListenerLimits;
import org.toucanrack.internal.transport.relay.RequestHandler;
import org.toucanrack.internal.transport.relay.Responses;
import org.toucanrack.steering.EntrySettings;
import org.toucanrack.steering.LookupFormat;
import org.toucanrack.steering.PlatformBinding;

/**
 * One entry VM on a platform, with a control thread and a traffic thread.
 *
 * <pre>{@code
 * EntryNode.run(settings, platform, log); // returns after a planned stop
 * }</pre>
 *
 * <p>Invariant: the controller is used on the control thread only and the traffic handler on the
 * traffic thread only; they exchange immutable values. The public methods are thread-safe.
 */
public final class EntryNode {

  /** Interval at which the traffic thread reports its counts to the control thread. */
  private static final long TRAFFIC_REPORT_INTERVAL_MS = 250;

  /** Report interval while no caller sends requests. */
  private static final long IDLE_TRAFFIC_REPORT_INTERVAL_MS = 1000;

  /**
   * Time before the end of the grace period at which a stopping process ends requests that still
   * run.
   */
  private static final Duration STOP_MARGIN = Duration.ofMillis(500);

  /**
   * A stopping VM accepts requests for this long, until most callers have repeated their look-ups.
   */
  static final Duration STOP_SERVING_TIME = Duration.ofMillis(2800);

  /** A stopping VM refuses requests for at least this long before it closes its port. */
  private static final Duration STOP_REFUSING_TIME = Duration.ofMillis(700);

  private static final long STOP_POLL_INTERVAL_MS = 50;

  /** Exit code of a process that has lost the thread of an event loop. */
  private static final int EXIT_EVENT_LOOP_ENDED = 71;

  private static final int MAX_STORE_HEAD_BYTES = 16 * 1024;
  private static final long MAX_STORE_BODY_BYTES = 64L * 1024 * 1024;

  /**
   * Share of the heap for unfinished answers of the store and of other VMs. Answers of the store
   * have about 1 MB at most; one connection may use a quarter of what is free, 2.4 MB of 96 MB.
   */
  private static final double STORE_ANSWER_HEAP_FRACTION = 0.1;

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;
  private static final HttpField METRICS_TYPE =
      new HttpField("Content-Type", "text/plain; version=0.0.4; charset=utf-8");

  private final EntrySettings settings;
  private final LookupFormat lookupFormat;
  private final DecisionLog log;
  private final EntryMetrics metrics = new EntryMetrics();
  private final Eventloop controlLoop;
  private final Eventloop trafficLoop;
  private final Optional<UsageCounter> usageCounter;
  private final TrafficHandler traffic;
  private final EntryController controller;
  private final ListenerBudgets internalBudgets =
      ListenerBudgets.ofInternalListeners(Runtime.getRuntime().maxMemory());
  private final HttpListener readinessListener;
  private final HttpListener lookupListener;
  private final HttpListener peerListener;
  private final Optional<HttpListener> metricsListener;

  /** Creates a VM; no thread runs before {@link #start}. */
  public EntryNode(EntrySettings settings, PlatformBinding platform, DecisionLog log) {
    this.settings = settings;
    this.lookupFormat = platform.lookupFormat();
    this.log = log;
    this.controlLoop = eventloop("control");
    this.trafficLoop = eventloop("traffic");
    this.usageCounter =
        settings
            .usageReporting()
            .map(reporting -> new UsageCounter(ReportWindows.of(reporting.window())));
    this.traffic =
        new TrafficHandler(
            trafficLoop,
            settings,
            platform.headers(),
            log,
            metrics,
            this::requestTokens,
            usageCounter);
    ConnectionPool controlPool =
        new ConnectionPool(
            controlLoop,
            MAX_STORE_HEAD_BYTES,
            MAX_STORE_BODY_BYTES,
            (long) (STORE_ANSWER_HEAP_FRACTION * Runtime.getRuntime().maxMemory()));
    this.controller =
        new EntryController(
            controlLoop,
            settings,
            platform,
            log,
            metrics,
            controlPool,
            snapshot -> onTraffic(() -> traffic.adopt(snapshot)),
            update -> onTraffic(() -> adoptPeers(update)),
            new TrafficTokens(),
            new TrafficRetryReserve(),
            usageCounter);
    EntrySettings.Endpoints endpoints = settings.endpoints();
    this.readinessListener = internalListener(endpoints.readiness(), this::answerReadiness);
    this.lookupListener = internalListener(endpoints.lookup(), this::answerLookup);
    this.peerListener = internalListener(endpoints.peers(), controller.exchange());
    this.metricsListener =
        endpoints.metrics().map(address -> internalListener(address, this::answerMetrics));
  }

  /** Runs a VM until the JVM shuts down, then performs a planned stop. */
  public static void run(EntrySettings settings, PlatformBinding platform, DecisionLog log) {
    EntryNode node = new EntryNode(settings, platform, log);
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  node.stop();
                  stopped.countDown();
                },
                "planned-stop"));
    node.start();
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Starts both threads and opens the listeners. */
  public void start() {
    onTraffic(
        () -> {
          traffic.listen();
          reportTraffic();
        });
    controlLoop.execute(
        () -> {
          readinessListener.listen();
          lookupListener.listen();
          peerListener.listen();
          metricsListener.ifPresent(HttpListener::listen);
          controller.start();
          log.event(
              "started",
              "domain",
              settings.failureDomain(),
              "callers",
              settings.endpoints().callers(),
              "pid",
              ProcessHandle.current().pid());
        });
    runInBackground(trafficLoop);
    runInBackground(controlLoop);
  }

  /**
   * Performs a planned stop: directs callers to other VMs, drains running requests until the grace
   * period is nearly over, then closes the callers' listener. Blocks until this is done.
   */
  public void stop() {
    log.event("stopping", "grace_ms", settings.bounds().stopGracePeriod().toMillis());
    controlLoop.execute(controller::leave);
    onTraffic(() -> traffic.listener().closeConnectionsAfterResponse());
    Duration maxDuration = settings.bounds().stopGracePeriod().minus(STOP_MARGIN);
    Duration minDuration = STOP_SERVING_TIME.plus(STOP_REFUSING_TIME);
    long startNanos = System.nanoTime();
    while (elapsed(startNanos).compareTo(STOP_SERVING_TIME) < 0) {
      pause();
    }
    onTraffic(traffic::refuseNewRequests);
    while (elapsed(startNanos).compareTo(maxDuration) < 0
        && (elapsed(startNanos).compareTo(minDuration) < 0 || runningWork() > 0)) {
      pause();
    }
    controlLoop.execute(controller::close);
    onTraffic(() -> traffic.listener().close());
    log.event("traffic-bytes", metrics.trafficBytes().logFields());
    log.event("stopped", "after_ms", elapsed(startNanos).toMillis(), "running", runningWork());
    log.close();
  }

  private int runningWork() {
    try {
      return CompletableFuture.supplyAsync(
              () -> traffic.runningRequests() + traffic.listener().busyConnections(), trafficLoop)
          .get(1, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    } catch (ExecutionException | TimeoutException e) {
      log.event("stop-count-failed", "reason", String.valueOf(e.getMessage()));
      return 1;
    }
  }

  private static void pause() {
    try {
      Thread.sleep(STOP_POLL_INTERVAL_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Duration elapsed(long startNanos) {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }

  private void adoptPeers(PeerUpdate update) {
    traffic.state().adoptPeers(update, System.nanoTime());
    if (update.claims().isPresent()) {
      sendTrafficToController();
    }
  }

  private void reportTraffic() {
    double requestsPerSecond = sendTrafficToController();
    trafficLoop.delayBackground(
        // A killed VM may lose the counts of one second only, also if it was idle before.
        requestsPerSecond > 0 || usageCounter.isPresent()
            ? TRAFFIC_REPORT_INTERVAL_MS
            : IDLE_TRAFFIC_REPORT_INTERVAL_MS,
        this::reportTraffic);
  }

  /** Sends what the traffic thread measured to the control thread; returns the request rate. */
  private double sendTrafficToController() {
    Map<CustomerId, RateShares.Claim> claims = traffic.state().claims();
    Map<TrafficState.EvidenceKey, TrialEvidence> evidence = traffic.state().evidence();
    double requestsPerSecond = traffic.state().requestsPerSecond(System.nanoTime());
    usageCounter.ifPresent(UsageCounter::publish);
    controlLoop.execute(() -> controller.updateTraffic(claims, evidence, requestsPerSecond));
    return requestsPerSecond;
  }

  private void answerReadiness(HttpMessage request, RequestHandler.Exchange exchange) {
    boolean ready = lookupFormat.isReadinessCheck(request) && controller.isReady();
    exchange.respond(Responses.text(ready ? OK : UNAVAILABLE, ready ? "ready" : "not ready"));
  }

  private void answerLookup(HttpMessage request, RequestHandler.Exchange exchange) {
    Optional<LookupFormat.Query> query = lookupFormat.parseQuery(request);
    if (query.isEmpty()) {
      exchange.respond(Responses.text(NOT_FOUND, "unknown path"));
      return;
    }
    LookupAnswer answer = controller.vmsFor(query.get().failureDomain());
    exchange.respond(
        answer.vms().isEmpty()
            ? Responses.text(UNAVAILABLE, "no VM is ready")
            : lookupFormat.response(answer.vms(), controller.lookupTtl()));
  }

  private void answerMetrics(HttpMessage request, RequestHandler.Exchange exchange) {
    exchange.respond(Responses.withBody(OK, METRICS_TYPE, metrics.scrape()));
  }

  private HttpListener internalListener(InetSocketAddress address, RequestHandler handler) {
    return new HttpListener(
        controlLoop, address, handler, () -> ListenerLimits.INTERNAL, internalBudgets);
  }

  private void requestTokens(CustomerId customer) {
    controlLoop.execute(() -> controller.requestTokens(customer));
  }

  /** Forwards token loans to the traffic thread and returns the results to the control thread. */
  private final class TrafficTokens implements TokenLoans.LocalTokens {

    @Override
    public void lend(CustomerId customer, Consumer<Boolean> onResult) {
      onTraffic(
          () -> {
            boolean tokenLent = traffic.state().takeToken(customer, System.nanoTime());
            controlLoop.execute(() -> onResult.accept(tokenLent));
          });
    }

    @Override
    public void loanCompleted(CustomerId customer, boolean lent) {
      onTraffic(() -> traffic.tokenLoanCompleted(customer, lent));
    }
  }

  /** Forwards transfers of the retry reserve to the traffic thread, and the parts back. */
  private final class TrafficRetryReserve implements RetryReserveTransfers.LocalReserve {

    @Override
    public void give(int parts, Consumer<Map<ServiceId, Double>> onGiven) {
      onTraffic(
          () -> {
            Map<ServiceId, Double> given =
                traffic.state().giveRetryReserve(parts, System.nanoTime());
            controlLoop.execute(() -> onGiven.accept(given));
          });
    }

    @Override
    public void receive(Map<ServiceId, Double> attempts) {
      onTraffic(() -> traffic.state().receiveRetryReserve(attempts, System.nanoTime()));
    }
  }

  private void onTraffic(Runnable action) {
    trafficLoop.execute(action::run);
  }

  /** Creates an event loop that logs an exception of a task and goes on with the next task. */
  private Eventloop eventloop(String name) {
    return Eventloop.builder()
        .withThreadName(name)
        .withFatalErrorHandler(
            (fault, context) -> log.event("fault", "thread", name, "reason", describe(fault)))
        .build();
  }

  private static String describe(Throwable fault) {
    StackTraceElement[] trace = fault.getStackTrace();
    return fault + (trace.length == 0 ? "" : " at " + trace[0]);
  }

  private void runInBackground(Eventloop loop) {
    loop.keepAlive(true);
    Thread thread = new Thread(loop);
    thread.setDaemon(true);
    thread.setUncaughtExceptionHandler(
        (ended, fault) -> {
          // Without its event loops the process would go on running and answer nothing.
          log.event("event-loop-ended", "thread", ended.getName(), "reason", describe(fault));
          Runtime.getRuntime().halt(EXIT_EVENT_LOOP_ENDED);
        });
    thread.start();
  }
}
