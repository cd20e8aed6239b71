package org.toucanrack.internal.coordination.control;

import io.activej.eventloop.Eventloop;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.state.Member;
import org.toucanrack.internal.transport.peer.PeerTransport;
import org.toucanrack.platform.Platform;
import org.toucanrack.platform.Row;
import org.toucanrack.platform.StoreAnswer;
import org.toucanrack.platform.Transaction;

/**
 * Runs the control loop. A single event-loop thread owns all control state; answers of the platform
 * and messages from peers are posted to it as events. Public methods are thread-safe.
 *
 * <pre>{@code
 * ControlPlane control = new ControlPlane(settings, platform, peers);
 * control.onSnapshot(snapshot -> applySnapshot(snapshot));
 * control.start();
 * }</pre>
 */
public final class ControlPlane implements AutoCloseable {

  private static final Logger LOGGER = System.getLogger(ControlPlane.class.getName());

  /** Timeout of a store call, after which its outcome counts as unknown. */
  private static final long STORE_TIMEOUT_MILLIS = 2_000;

  private static final long WRITE_RETRY_MILLIS = 500;

  private final Platform platform;
  private final PeerTransport peers;
  private final LongSupplier nanoClock;
  private final Eventloop eventloop;
  private final ControlCore core;
  private final TransactionCommitter committer;
  private final List<Consumer<ControlSnapshot>> listeners = new CopyOnWriteArrayList<>();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile ControlSnapshot snapshot;
  private volatile List<Row> records = List.of();
  private volatile Thread thread;
  private boolean draining;

  /** Creates a control plane; nothing runs before {@link #start}. */
  public ControlPlane(Settings settings, Platform platform, PeerTransport peers) {
    this.platform = platform;
    this.peers = peers;
    this.nanoClock = settings.nanoClock();
    this.eventloop =
        Eventloop.builder()
            .withTimeProvider(() -> TimeUnit.NANOSECONDS.toMillis(nanoClock.getAsLong()))
            .build();
    this.core =
        new ControlCore(
            settings.self(),
            settings.seedPeers(),
            settings.decoder(),
            settings.drainer(),
            settings.recordDecoder(),
            nanoClock.getAsLong());
    this.committer =
        new TransactionCommitter(
            platform.tables(),
            CompletableFuture.delayedExecutor(WRITE_RETRY_MILLIS, TimeUnit.MILLISECONDS));
    this.snapshot = core.initialSnapshot(nanoClock.getAsLong());
  }

  /**
   * Settings and collaborators of a control plane other than the platform and the peers. Immutable.
   *
   * @param self this VM
   * @param seedPeers addresses of peers to contact first, so that a VM can start while the store is
   *     unreachable
   * @param decoder decodes the bodies of configurations
   * @param drainer stops the use of resources that are handed over
   * @param recordDecoder derives traffic splits and version shares from the rows of moves and
   *     rollouts
   * @param nanoClock monotonic time
   */
  public record Settings(
      Member self,
      Collection<String> seedPeers,
      ConfigurationDecoder decoder,
      ResourceDrainer drainer,
      OperatorRecordDecoder recordDecoder,
      LongSupplier nanoClock) {}

  /**
   * Registers the message handlers and starts the control loop. Must be called before the transport
   * listens.
   */
  public void start() {
    registerHandler(PeerEnvelope.BodyCase.HEARTBEAT);
    registerHandler(PeerEnvelope.BodyCase.PROBE);
    registerHandler(PeerEnvelope.BodyCase.CONFIGURATION_FETCH);
    registerHandler(PeerEnvelope.BodyCase.CONFIGURATION_ANNOUNCEMENT);
    eventloop.keepAlive(true);
    eventloop.execute(this::tick);
    thread = new Thread(eventloop, "control");
    thread.setDaemon(true);
    thread.start();
  }

  private void registerHandler(PeerEnvelope.BodyCase type) {
    peers.registerHandler(type, this::onPeerMessage);
  }

  private CompletionStage<PeerEnvelope> onPeerMessage(Incarnation sender, PeerEnvelope message) {
    CompletableFuture<PeerEnvelope> reply = new CompletableFuture<>();
    post(new ControlEvent.PeerMessage(sender, message, reply));
    return reply;
  }

  /** Returns the most recently published snapshot. */
  public ControlSnapshot snapshot() {
    return snapshot;
  }

  /** Adds a listener, which is called on the control thread and must not block. */
  public void onSnapshot(Consumer<ControlSnapshot> listener) {
    listeners.add(listener);
  }

  /** Returns the newest known rows whose keys start with the prefix: drains, moves, rollouts. */
  public List<Row> records(String prefix) {
    return records.stream().filter(row -> row.key().startsWith(prefix)).toList();
  }

  /**
   * Commits a transaction; if the answer is lost, the table is read back to determine the outcome.
   * The outcome stays unknown only if the table could not be read back for several seconds.
   */
  public CompletionStage<StoreAnswer<Void>> submit(Transaction transaction) {
    return committer.submit(transaction);
  }

  /**
   * Starts a planned stop: this VM takes over no resources and hands over its own. The stage
   * completes when other VMs have taken over all of them. Callers should bound the wait, since a
   * handover needs the store.
   */
  public CompletionStage<Void> drain() {
    eventloop.execute(
        () -> {
          draining = true;
          handle(new ControlEvent.DrainRequested());
        });
    return drained;
  }

  @Override
  public void close() {
    eventloop.execute(eventloop::breakEventloop);
  }

  private void post(ControlEvent event) {
    eventloop.execute(() -> handle(event));
  }

  private void tick() {
    eventloop.delay(TimeUnit.NANOSECONDS.toMillis(ControlTimings.TICK_PERIOD_NANOS), this::tick);
    handle(new ControlEvent.Tick());
  }

  private void handle(ControlEvent event) {
    try {
      core.handle(event, nanoClock.getAsLong()).forEach(this::execute);
    } catch (RuntimeException e) {
      LOGGER.log(Level.ERROR, "[control] The control loop failed on an event.", e);
    }
    if (draining && core.isDrained()) {
      drained.complete(null);
    }
  }

  private void execute(ControlAction action) {
    long now = nanoClock.getAsLong();
    if (action instanceof ControlAction.ReadRow read) {
      callStore(
          platform.tables().get(read.key()), answer -> new ControlEvent.RowRead(read, now, answer));
    } else if (action instanceof ControlAction.ListRows list) {
      callStore(
          platform.tables().list(list.prefix()),
          answer -> new ControlEvent.RowsListed(list.prefix(), now, answer));
    } else if (action instanceof ControlAction.Commit commit) {
      callStore(
          platform.tables().commit(commit.transaction()),
          answer -> new ControlEvent.Committed(commit.transaction(), now, answer));
    } else if (action instanceof ControlAction.ReadObject read) {
      callStore(
          platform.objects().get(read.name()),
          answer -> new ControlEvent.ObjectRead(read.name(), answer));
    } else if (action instanceof ControlAction.ListVms) {
      callStore(platform.vms().list(), answer -> new ControlEvent.VmsListed(now, answer));
    } else if (action instanceof ControlAction.Request request) {
      sendRequest(request, now);
    } else if (action instanceof ControlAction.Send send) {
      peers.send(send.address(), send.envelope());
    } else if (action instanceof ControlAction.Reply reply) {
      reply.reply().complete(reply.envelope());
    } else if (action instanceof ControlAction.Publish publish) {
      publish(publish.snapshot());
    }
  }

  private <T> void callStore(
      CompletionStage<StoreAnswer<T>> call, Function<StoreAnswer<T>, ControlEvent> event) {
    CompletableFuture<StoreAnswer<T>> bounded = new CompletableFuture<>();
    bounded.completeOnTimeout(
        new StoreAnswer.Unknown<>("no answer from the store within the timeout"),
        STORE_TIMEOUT_MILLIS,
        TimeUnit.MILLISECONDS);
    call.whenComplete(
        (answer, failure) ->
            bounded.complete(
                failure == null ? answer : new StoreAnswer.Unknown<>(failure.toString())));
    bounded.thenAccept(answer -> post(event.apply(answer)));
  }

  private void sendRequest(ControlAction.Request request, long sentAtNanos) {
    peers
        .request(
            request.call().address(),
            request.envelope(),
            Duration.ofMillis(request.timeoutMillis()))
        .whenComplete(
            (answer, failure) ->
                post(
                    failure == null
                        ? new ControlEvent.PeerAnswered(request.call(), sentAtNanos, answer)
                        : new ControlEvent.PeerFailed(request.call(), sentAtNanos)));
  }

  private void publish(ControlSnapshot next) {
    snapshot = next;
    records = core.records("");
    for (Consumer<ControlSnapshot> listener : listeners) {
      try {
        listener.accept(next);
      } catch (RuntimeException e) {
        LOGGER.log(Level.ERROR, "[control] A listener failed on a snapshot.", e);
      }
    }
  }
}
