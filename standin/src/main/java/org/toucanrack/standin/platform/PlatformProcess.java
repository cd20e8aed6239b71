package org.toucanrack.standin.platform;

import com.sun.net.httpserver.HttpServer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.toucanrack.standin.Addresses;

/** Runs the platform stand-in: one HTTP server per listen address, with shared state. */
public final class PlatformProcess implements AutoCloseable {

  private static final int HANDLER_THREADS = 32;

  private final List<HttpServer> servers = new ArrayList<>();
  private final ExecutorService executor = Executors.newFixedThreadPool(HANDLER_THREADS);

  /** Starts the platform on all addresses. */
  public PlatformProcess(List<InetSocketAddress> addresses, PlatformSettings settings)
      throws java.io.IOException {
    PlatformHandler handler = new PlatformHandler(settings);
    for (InetSocketAddress address : addresses) {
      HttpServer server = HttpServer.create(address, 0);
      server.setExecutor(executor);
      server.createContext("/", handler);
      server.start();
      servers.add(server);
    }
  }

  /** Parses the command line and serves until the process ends. */
  public static void run(String[] arguments) throws Exception {
    Options options =
        new Options()
            .addOption(Option.builder().longOpt("listen").hasArg().required().build())
            .addOption(Option.builder().longOpt("writes-per-second").hasArg().build())
            .addOption(Option.builder().longOpt("reads-per-second").hasArg().build())
            .addOption(Option.builder().longOpt("vm-lag-ms").hasArg().build())
            .addOption(Option.builder().longOpt("measurements-lag-ms").hasArg().build());
    CommandLine commandLine = new DefaultParser().parse(options, arguments);
    List<InetSocketAddress> addresses = Addresses.parseList(commandLine.getOptionValue("listen"));
    new PlatformProcess(addresses, settings(commandLine));
    System.out.println("platform: listening on " + commandLine.getOptionValue("listen"));
    Thread.currentThread().join();
  }

  private static PlatformSettings settings(CommandLine commandLine) {
    return new PlatformSettings(
        Double.parseDouble(commandLine.getOptionValue("writes-per-second", "0")),
        Double.parseDouble(commandLine.getOptionValue("reads-per-second", "0")),
        Long.parseLong(commandLine.getOptionValue("vm-lag-ms", "2000")),
        Long.parseLong(commandLine.getOptionValue("measurements-lag-ms", "5000")));
  }

  /** Returns the port that the first address is bound to. */
  public int port() {
    return servers.get(0).getAddress().getPort();
  }

  @Override
  public void close() {
    servers.forEach(server -> server.stop(0));
    executor.shutdownNow();
  }
}
