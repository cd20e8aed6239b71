package org.toucanrack.standin.link;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.net.AbstractReactiveServer;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.toucanrack.standin.Addresses;

/**
 * Simulates a network link: relays TCP connections from listen addresses to target addresses. All
 * connections share one delay and one capacity in each direction. A control port cuts, heals and
 * reconfigures the link. Sockets are confined to the event loop.
 */
public final class LinkProcess implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_BODY_BYTES = 1 << 16;

  private final Eventloop eventloop = Eventloop.builder().withThreadName("link").build();
  private final LinkDirection callerToTarget;
  private final LinkDirection targetToCaller;
  private final List<AbstractReactiveServer> servers = new ArrayList<>();
  private final Set<ITcpSocket> sockets = new HashSet<>();

  /** Starts a link that relays each listen address to the target at the same list position. */
  public LinkProcess(
      List<InetSocketAddress> listenAddresses,
      List<InetSocketAddress> targets,
      InetSocketAddress controlAddress,
      long delayMillis,
      double bitsPerSecond)
      throws IOException {
    if (listenAddresses.size() != targets.size()) {
      throw new IllegalArgumentException("--listen and --target need the same number of addresses");
    }
    callerToTarget = new LinkDirection(delayMillis, bitsPerSecond);
    targetToCaller = new LinkDirection(delayMillis, bitsPerSecond);
    eventloop.keepAlive(true);
    Thread thread = new Thread(eventloop, "link");
    thread.setDaemon(true);
    thread.start();
    eventloop.submit(() -> listen(listenAddresses, targets, controlAddress)).join();
  }

  /** Parses the command line and relays until the process ends. */
  public static void run(String[] arguments) throws Exception {
    Options options = new Options();
    for (String name : List.of("listen", "target", "control")) {
      options.addOption(Option.builder().longOpt(name).hasArg().required().build());
    }
    for (String name : List.of("delay-ms", "bits-per-second")) {
      options.addOption(Option.builder().longOpt(name).hasArg().build());
    }
    CommandLine commandLine = new DefaultParser().parse(options, arguments);
    new LinkProcess(
        Addresses.parseList(commandLine.getOptionValue("listen")),
        Addresses.parseList(commandLine.getOptionValue("target")),
        Addresses.parse(commandLine.getOptionValue("control")),
        Long.parseLong(commandLine.getOptionValue("delay-ms", "0")),
        Double.parseDouble(commandLine.getOptionValue("bits-per-second", "0")));
    System.out.println("link: listening on " + commandLine.getOptionValue("listen"));
    Thread.currentThread().join();
  }

  /** Returns the bound ports in the order of the listen addresses. */
  public List<Integer> ports() {
    return servers.subList(0, servers.size() - 1).stream().map(LinkProcess::portOf).toList();
  }

  /** Returns the port that accepts control calls. */
  public int controlPort() {
    return portOf(servers.get(servers.size() - 1));
  }

  private static int portOf(AbstractReactiveServer server) {
    return server.getBoundAddresses().get(0).getPort();
  }

  private void listen(
      List<InetSocketAddress> listenAddresses,
      List<InetSocketAddress> targets,
      InetSocketAddress controlAddress)
      throws IOException {
    for (int i = 0; i < listenAddresses.size(); i++) {
      InetSocketAddress target = targets.get(i);
      servers.add(
          SimpleServer.builder(eventloop, socket -> connectToTarget(socket, target))
              .withListenAddress(listenAddresses.get(i))
              .build());
    }
    servers.add(
        HttpServer.builder(eventloop, this::handleControl)
            .withListenAddress(controlAddress)
            .build());
    for (AbstractReactiveServer server : servers) {
      server.listen();
    }
  }

  private void connectToTarget(ITcpSocket caller, InetSocketAddress targetAddress) {
    TcpSocket.connect(eventloop, targetAddress)
        .whenResult(target -> startRelay(caller, target))
        .whenException(e -> caller.close());
  }

  private void startRelay(ITcpSocket caller, ITcpSocket target) {
    sockets.removeIf(ITcpSocket::isClosed);
    sockets.add(caller);
    sockets.add(target);
    Runnable closeBoth =
        () -> {
          sockets.remove(caller);
          sockets.remove(target);
          caller.close();
          target.close();
        };
    new LinkPump(eventloop, callerToTarget, caller, target, closeBoth).read();
    new LinkPump(eventloop, targetToCaller, target, caller, closeBoth).read();
  }

  private Promise<HttpResponse> handleControl(HttpRequest request) {
    if (request.getMethod() == HttpMethod.GET) {
      return HttpResponse.ok200().withJson(describe()).toPromise();
    }
    return request
        .loadBody(MAX_BODY_BYTES)
        .then(
            body -> {
              JsonNode json = body.canRead() ? JSON.readTree(body.getArray()) : JSON.nullNode();
              return apply(request.getPath(), json)
                  ? HttpResponse.ok200().withJson(describe()).toPromise()
                  : HttpResponse.ofCode(404).withPlainText("no such call").toPromise();
            });
  }

  private boolean apply(String path, JsonNode body) {
    List<LinkDirection> directions = directions(body.path("direction").asText("both"));
    switch (path) {
      case "/cut" -> directions.forEach(LinkDirection::cut);
      case "/heal" -> directions.forEach(LinkDirection::heal);
      case "/set" ->
          directions.forEach(
              direction ->
                  direction.set(
                      body.path("delayMillis").asLong(0), body.path("bitsPerSecond").asDouble(0)));
      case "/close" -> List.copyOf(sockets).forEach(ITcpSocket::close);
      default -> {
        return false;
      }
    }
    return true;
  }

  private List<LinkDirection> directions(String name) {
    return switch (name) {
      case "forth" -> List.of(callerToTarget);
      case "back" -> List.of(targetToCaller);
      default -> List.of(callerToTarget, targetToCaller);
    };
  }

  private String describe() {
    try {
      return JSON.writeValueAsString(
          Map.of(
              "connections", sockets.stream().filter(socket -> !socket.isClosed()).count() / 2,
              "forth", Map.of("cut", callerToTarget.isCut(), "bytes", callerToTarget.totalBytes()),
              "back", Map.of("cut", targetToCaller.isCut(), "bytes", targetToCaller.totalBytes())));
    } catch (IOException e) {
      throw new IllegalStateException("failed to serialize the status of the link", e);
    }
  }

  @Override
  public void close() {
    eventloop.execute(eventloop::breakEventloop);
  }
}
