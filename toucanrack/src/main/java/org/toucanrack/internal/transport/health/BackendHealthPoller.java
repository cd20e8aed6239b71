package org.toucanrack.internal.transport.health;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.internal.transport.http.IpLiteralResolver;

/**
 * Polls health and load of the backend servers that this VM owns.
 *
 * <p>A server that does not answer keeps its last state, since failing requests reveal a server
 * that is down sooner than its health endpoint does. Confined to the thread of its reactor.
 */
public final class BackendHealthPoller {

  private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);
  private static final String DRAINING = "draining";

  private final HttpClient client;
  private final Consumer<Map<BackendServerId, BackendHealth>> listener;
  private final Map<BackendServerId, BackendHealth> states = new HashMap<>();

  /** Creates a poller; the listener receives the states of all polled servers after each change. */
  public BackendHealthPoller(
      NioReactor reactor, Consumer<Map<BackendServerId, BackendHealth>> listener) {
    this.listener = listener;
    this.client =
        HttpClient.builder(reactor, new IpLiteralResolver())
            .withConnectTimeout(CALL_TIMEOUT)
            .withReadWriteTimeout(CALL_TIMEOUT)
            .withKeepAliveTimeout(Duration.ofSeconds(10))
            .build();
  }

  /** Starts one poll of each server. Call once in each period. */
  public void poll(List<BackendServer> servers) {
    Set<BackendServerId> ids =
        servers.stream().map(BackendServer::id).collect(Collectors.toUnmodifiableSet());
    states.keySet().retainAll(ids);
    servers.forEach(this::poll);
  }

  private void poll(BackendServer server) {
    Promise<String> health = read(server, "/health");
    Promise<String> load = read(server, "/load");
    health.both(load).whenResult(() -> update(server, health.getResult(), load.getResult()));
  }

  private Promise<String> read(BackendServer server, String path) {
    String url = "http://" + server.host() + ":" + server.port() + path;
    return client
        .request(HttpRequest.get(url).build())
        .then(response -> response.loadBody(1024))
        .map(body -> body.getString(UTF_8).trim());
  }

  private void update(BackendServer server, String health, String load) {
    BackendHealth state = new BackendHealth(DRAINING.equals(health), parseLoad(load));
    if (!state.equals(states.put(server.id(), state))) {
      listener.accept(Map.copyOf(states));
    }
  }

  private static double parseLoad(String text) {
    try {
      return Math.max(0, Math.min(1, Double.parseDouble(text)));
    } catch (NumberFormatException e) {
      return 0;
    }
  }
}
