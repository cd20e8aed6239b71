package org.toucanrack.internal.transport.http;

import io.activej.eventloop.Eventloop;
import io.activej.net.PrimaryServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.internal.coordination.routing.ClientBlocks;

/**
 * The server of the callers' port: one event loop accepts connections, the others serve them.
 *
 * <pre>{@code
 * TrafficServer server = new TrafficServer(settings, collaborators);
 * server.start();
 * server.drain(timeToLive).join();
 * server.close();
 * }</pre>
 *
 * <p>Thread-safe after {@link #start}.
 */
public final class TrafficServer implements AutoCloseable {

  /**
   * Time in which active connections get a last response with {@code Connection: close}. Without
   * it, a request that is sent while its connection is being closed would be lost.
   */
  private static final Duration LAST_RESPONSE_PERIOD = Duration.ofSeconds(1);

  private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(20);

  private final List<Eventloop> loops = new ArrayList<>();
  private final List<CallersServer> workers = new ArrayList<>();
  private final Eventloop acceptor = Eventloop.builder().withThreadName("traffic-accept").build();
  private final PrimaryServer primary;
  private final OwnerExecutor executor;
  private volatile Optional<ClientBlocks> clientBlocks = Optional.empty();
  private volatile Consumer<BackendServerId> drainListener = server -> {};
  private volatile boolean draining;
  private volatile boolean closingConnections;

  /** Creates a server and registers the handlers of forwarded requests. */
  public TrafficServer(TrafficSettings settings, TrafficCollaborators collaborators) {
    List<BackendClient> clients = new ArrayList<>();
    for (int i = 0; i < settings.threads(); i++) {
      Eventloop loop = Eventloop.builder().withThreadName("traffic-" + i).build();
      loops.add(loop);
      clients.add(
          new BackendClient(loop, collaborators.clock(), server -> drainListener.accept(server)));
    }
    executor = new OwnerExecutor(collaborators, clients);
    AttemptRouter router = new AttemptRouter(collaborators);
    AttemptSender attemptSender = new AttemptSender(collaborators, executor);
    RequestSender sender = new RequestSender(collaborators, router, attemptSender, this::schedule);
    TicketCoordinator tickets = new TicketCoordinator(collaborators, attemptSender, sender);
    ControlServlet control =
        new ControlServlet(collaborators, router, tickets, () -> clientBlocks, () -> draining);
    CallerServlet servlet =
        new CallerServlet(
            collaborators,
            new Admission(collaborators),
            sender,
            tickets,
            control,
            () -> closingConnections);
    AtomicInteger openConnections = new AtomicInteger();
    loops.forEach(loop -> workers.add(new CallersServer(loop, servlet, settings, openConnections)));
    primary = PrimaryServer.builder(acceptor, workers).withListenAddress(settings.listen()).build();
    new ForwardHandler(collaborators, executor, tickets).register();
  }

  /** Starts the event loops and listens. */
  public void start() {
    loops.forEach(TrafficServer::run);
    run(acceptor);
    runOnLoop(
        acceptor,
        () -> {
          try {
            primary.listen();
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  /** Returns the address that callers connect to. */
  public InetSocketAddress address() {
    return primary.getBoundAddresses().get(0);
  }

  /** Replaces the table of client blocks that look-ups use. */
  public void useClientBlocks(ClientBlocks blocks) {
    clientBlocks = Optional.of(blocks);
  }

  /** Sets the listener for responses of backend servers that carry {@code Toucanrack-Draining}. */
  public void onBackendDrainAnnounced(Consumer<BackendServerId> listener) {
    drainListener = listener;
  }

  /**
   * Starts a planned stop: look-ups no longer return this VM, which continues to serve for the time
   * to live of earlier look-up answers and then until all requests in flight have ended. The result
   * completes when no request is in flight; call {@link #close} then.
   */
  public CompletableFuture<Void> drain(Duration timeToLive) {
    draining = true;
    CompletableFuture<Void> drained = new CompletableFuture<>();
    runAfter(
        timeToLive,
        () -> {
          closingConnections = true;
          runOnLoop(acceptor, primary::close);
          runAfter(LAST_RESPONSE_PERIOD, () -> awaitIdle(drained));
        });
    return drained;
  }

  private void awaitIdle(CompletableFuture<Void> drained) {
    AtomicInteger remaining = new AtomicInteger(executor.inFlight());
    workers.forEach(
        worker -> runOnLoop(worker.getReactor(), () -> remaining.addAndGet(worker.closeIdle())));
    if (remaining.get() == 0) {
      drained.complete(null);
    } else {
      runAfter(DRAIN_CHECK_INTERVAL, () -> awaitIdle(drained));
    }
  }

  private static void runAfter(Duration delay, Runnable action) {
    CompletableFuture.delayedExecutor(delay.toNanos(), TimeUnit.NANOSECONDS).execute(action);
  }

  @Override
  public void close() {
    runOnLoop(acceptor, primary::close);
    stop(acceptor);
    loops.forEach(TrafficServer::stop);
  }

  private void schedule(long delayNanos, Runnable action) {
    Eventloop loop = loops.get(ThreadLocalRandom.current().nextInt(loops.size()));
    long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(delayNanos));
    loop.execute(() -> loop.delayBackground(millis, action));
  }

  private static void run(Eventloop loop) {
    loop.keepAlive(true);
    Thread thread = new Thread(loop, "traffic");
    thread.setDaemon(true);
    thread.start();
  }

  private static void stop(Eventloop loop) {
    loop.keepAlive(false);
    loop.execute(loop::breakEventloop);
  }

  private static void runOnLoop(Executor loop, Runnable action) {
    try {
      CompletableFuture.runAsync(action, loop).get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("Interrupted while the callers' port changed state.", e);
    } catch (ExecutionException e) {
      throw new IllegalStateException("The callers' port could not change state.", e.getCause());
    }
  }
}
