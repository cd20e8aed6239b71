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
 * A link: relays TCP connections from listen addresses to target addresses, all over one delay and
 * capacity in each direction.
 */
public final class LinkProcess implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_BODY_BYTES = 1 << 16;

  private final Eventloop eventloop = Eventloop.builder().withThreadName("link").build();
  private final LinkDirection forth;
  private final LinkDirection back;
  private final List<AbstractReactiveServer> servers = new ArrayList<>();
  private final Set<ITcpSocket> sockets = new HashSet<>();

  /** Starts a link; each listen address relays to the target at the same place of its list. */
  public LinkProcess(
      List<InetSocketAddress> listen,
      List<InetSocketAddress> targets,
      InetSocketAddress control,
      long delayMillis,
      double bitsPerSecond)
      throws IOException {
    if (listen.size() != targets.size()) {
      throw new IllegalArgumentException("--listen and --target need the same number of addresses");
    }
    forth = new LinkDirection(delayMillis, bitsPerSecond);
    back = new LinkDirection(delayMillis, bitsPerSecond);
    eventloop.keepAlive(true);
    Thread thread = new Thread(eventloop, "link");
    thread.setDaemon(true);
    thread.start();
    eventloop.submit(() -> listen(listen, targets, control)).join();
  }

  /** Parses the arguments and relays until the process ends. */
  public static void run(String[] arguments) throws Exception {
    Options options = new Options();
    for (String name : List.of("listen", "target", "control")) {
      options.addOption(Option.builder().longOpt(name).hasArg().required().build());
    }
    for (String name : List.of("delay-ms", "bits-per-second")) {
      options.addOption(Option.builder().longOpt(name).hasArg().build());
    }
    CommandLine line = new DefaultParser().parse(options, arguments);
    new LinkProcess(
        Addresses.parseList(line.getOptionValue("listen")),
        Addresses.parseList(line.getOptionValue("target")),
        Addresses.parse(line.getOptionValue("control")),
        Long.parseLong(line.getOptionValue("delay-ms", "0")),
        Double.parseDouble(line.getOptionValue("bits-per-second", "0")));
    System.out.println("link: listening on " + line.getOptionValue("listen"));
    Thread.currentThread().join();
  }

  /** Returns the listening ports in the order of the addresses. */
  public List<Integer> ports() {
    return servers.subList(0, servers.size() - 1).stream().map(LinkProcess::portOf).toList();
  }

  /** Returns the port for control calls. */
  public int controlPort() {
    return portOf(servers.get(servers.size() - 1));
  }

  private static int portOf(AbstractReactiveServer server) {
    return server.getBoundAddresses().get(0).getPort();
  }

  private void listen(
      List<InetSocketAddress> listen, List<InetSocketAddress> targets, InetSocketAddress control)
      throws IOException {
    for (int i = 0; i < listen.size(); i++) {
      InetSocketAddress target = targets.get(i);
      servers.add(
          SimpleServer.builder(eventloop, socket -> relay(socket, target))
              .withListenAddress(listen.get(i))
              .build());
    }
    servers.add(HttpServer.builder(eventloop, this::control).withListenAddress(control).build());
    for (AbstractReactiveServer server : servers) {
      server.listen();
    }
  }

  private void relay(ITcpSocket caller, InetSocketAddress address) {
    TcpSocket.connect(eventloop, address)
        .whenResult(target -> start(caller, target))
        .whenException(e -> caller.close());
  }

  private void start(ITcpSocket caller, ITcpSocket target) {
    sockets.removeIf(ITcpSocket::isClosed);
    sockets.add(caller);
    sockets.add(target);
    Runnable close =
        () -> {
          sockets.remove(caller);
          sockets.remove(target);
          caller.close();
          target.close();
        };
    new LinkPump(eventloop, forth, caller, target, close).read();
    new LinkPump(eventloop, back, target, caller, close).read();
  }

  private Promise<HttpResponse> control(HttpRequest request) {
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
      case "forth" -> List.of(forth);
      case "back" -> List.of(back);
      default -> List.of(forth, back);
    };
  }

  private String describe() {
    try {
      return JSON.writeValueAsString(
          Map.of(
              "connections", sockets.stream().filter(socket -> !socket.isClosed()).count() / 2,
              "forth", Map.of("cut", forth.isCut(), "bytes", forth.bytes()),
              "back", Map.of("cut", back.isCut(), "bytes", back.bytes())));
    } catch (IOException e) {
      throw new IllegalStateException("cannot describe the link", e);
    }
  }

  @Override
  public void close() {
    eventloop.execute(eventloop::breakEventloop);
  }
}
