package org.toucanrack.standin.backend;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.toucanrack.standin.Addresses;

/** Runs several backend servers on one event loop, each on its own address. */
public final class BackendProcess implements AutoCloseable {

  private final Eventloop eventloop = Eventloop.builder().withThreadName("backend").build();
  private final List<BackendServer> servers = new ArrayList<>();
  private final Thread thread = new Thread(eventloop, "backend");

  /** Starts a backend server on each address; server {@code i} uses {@code seed + i}. */
  public BackendProcess(List<InetSocketAddress> addresses, BackendSettings settings, long seed)
      throws IOException {
    eventloop.keepAlive(true);
    for (InetSocketAddress address : addresses) {
      servers.add(new BackendServer(eventloop, address, settings, seed + servers.size()));
    }
    thread.setDaemon(true);
    thread.start();
    eventloop.submit(this::listen).join();
  }

  private void listen() throws IOException {
    for (BackendServer server : servers) {
      server.listen();
    }
  }

  /** Parses the command line and serves until the process ends. */
  public static void run(String[] arguments) throws Exception {
    Options options = new Options();
    options.addOption(Option.builder().longOpt("listen").hasArg().required().build());
    for (String name :
        List.of(
            "slots",
            "max-connections",
            "service-time",
            "seed",
            "cold-factor",
            "cold-ms",
            "cold-requests",
            "cold-after-pause-ms",
            "new-connection-ms",
            "state-lag-ms")) {
      options.addOption(Option.builder().longOpt(name).hasArg().build());
    }
    CommandLine commandLine = new DefaultParser().parse(options, arguments);
    List<InetSocketAddress> addresses = Addresses.parseList(commandLine.getOptionValue("listen"));
    long seed = Long.parseLong(commandLine.getOptionValue("seed", "1"));
    BackendProcess process = new BackendProcess(addresses, settings(commandLine), seed);
    System.out.println("backend: listening on " + commandLine.getOptionValue("listen"));
    process.thread.join();
  }

  private static BackendSettings settings(CommandLine commandLine) {
    return new BackendSettings(
        Integer.parseInt(commandLine.getOptionValue("slots", "5")),
        Integer.parseInt(commandLine.getOptionValue("max-connections", "350")),
        ServiceTime.parse(commandLine.getOptionValue("service-time", "lognormal:5:0.4")),
        new BackendSettings.ColdStart(
            Double.parseDouble(commandLine.getOptionValue("cold-factor", "1")),
            Long.parseLong(commandLine.getOptionValue("cold-ms", "0")),
            Integer.parseInt(commandLine.getOptionValue("cold-requests", "0")),
            Long.parseLong(commandLine.getOptionValue("cold-after-pause-ms", "0"))),
        Long.parseLong(commandLine.getOptionValue("new-connection-ms", "1")),
        Long.parseLong(commandLine.getOptionValue("state-lag-ms", "0")));
  }

  /** Returns the bound ports in the order of the addresses. */
  public List<Integer> ports() {
    return servers.stream().map(BackendServer::port).toList();
  }

  @Override
  public void close() {
    eventloop.submit(() -> servers.forEach(BackendServer::close)).join();
    eventloop.keepAlive(false);
    eventloop.submit(() -> {});
  }
}
