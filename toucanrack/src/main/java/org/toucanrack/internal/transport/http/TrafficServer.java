package org.toucanrack.internal.transport.http;

import io.activej.eventloop.Eventloop;
import io.activej.net.PrimaryServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;

/**
 * The callers' port: one event loop accepts, the others carry traffic.
 *
 * <pre>{@code
 * TrafficServer server = new TrafficServer(settings, collaborators);
 * server.start();
 * }</pre>
 *
 * <p>Thread-safe after {@link #start}.
 */
public final class TrafficServer implements AutoCloseable {

  private final List<Eventloop> loops = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final PrimaryServer primary;

  /** Creates a server and registers the handler of forwarded requests. */
  public TrafficServer(TrafficSettings settings, TrafficCollaborators collaborators) {
    List<BackendClient> clients = new ArrayList<>();
    for (int i = 0; i < settings.threads(); i++) {
      Eventloop loop = Eventloop.builder().withThreadName("traffic-" + i).build();
      loops.add(loop);
      clients.add(new BackendClient(loop, collaborators.clock()));
    }
    OwnerExecutor owner = new OwnerExecutor(collaborators, clients);
    RequestSender sender = new RequestSender(collaborators, owner);
    Admission admission = new Admission(collaborators);
    AtomicInteger connections = new AtomicInteger();
    List<CallersServer> workers = new ArrayList<>();
    for (Eventloop loop : loops) {
      workers.add(
          new CallersServer(
              loop, new CallerServlet(collaborators, admission, sender), settings, connections));
    }
    Eventloop acceptor = Eventloop.builder().withThreadName("traffic-accept").build();
    loops.add(acceptor);
    primary = PrimaryServer.builder(acceptor, workers).withListenAddress(settings.listen()).build();
    collaborators
        .peers()
        .handle(PeerEnvelope.BodyCase.FORWARD_REQUEST, new ForwardHandler(collaborators, owner));
  }

  /** Starts the event loops and listens. */
  public void start() {
    for (Eventloop loop : loops) {
      loop.keepAlive(true);
      Thread thread = new Thread(loop, "traffic");
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
    onAcceptor(
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

  @Override
  public void close() {
    onAcceptor(primary::close);
    for (Eventloop loop : loops) {
      loop.keepAlive(false);
      loop.execute(loop::breakEventloop);
    }
  }

  private void onAcceptor(Runnable action) {
    CompletableFuture<Void> done =
        CompletableFuture.runAsync(action, loops.get(loops.size() - 1)::execute);
    try {
      done.get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("Interrupted while the callers' port changed state.", e);
    } catch (ExecutionException e) {
      throw new IllegalStateException("The callers' port could not change state.", e.getCause());
    }
  }
}
