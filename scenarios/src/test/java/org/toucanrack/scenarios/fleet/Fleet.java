package org.toucanrack.scenarios.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collector;
import java.util.stream.Collectors;

/**
 * A small deployment of real processes: platform and backend server stand-ins and four entry VMs in
 * three failure domains. Used by one thread.
 */
public final class Fleet implements AutoCloseable {

  private static final String STANDIN = "org.toucanrack.standin.StandIn";
  private static final String TOUCANRACK = "org.toucanrack.Toucanrack";
  private static final String SECRET = "scenario-peer-secret";
  private static final Duration START_LIMIT = Duration.ofSeconds(40);

  private record VmPlan(String name, int domain, int number) {}

  private static final List<VmPlan> PLANS =
      List.of(
          new VmPlan("a1", 1, 1),
          new VmPlan("a2", 1, 2),
          new VmPlan("b1", 2, 1),
          new VmPlan("c1", 3, 1));

  private final ObjectMapper json = new ObjectMapper();
  private final HttpClient http = HttpClient.newHttpClient();
  private final PartitionedNetwork network = new PartitionedNetwork();
  private final Map<String, ChildProcess> vms = new LinkedHashMap<>();
  private final Map<String, Integer> callersPorts = new LinkedHashMap<>();
  private final Map<String, Integer> operatorsPorts = new LinkedHashMap<>();
  private final Path directory;
  private final int platformPort = Ports.next();
  private final int relayPort = Ports.next();
  private final int peersPort = Ports.next();
  private final int peersRelayPort = Ports.next();
  private final List<Integer> backendPorts = new ArrayList<>();
  private double rate;
  private ChildProcess platform;
  private ChildProcess backends;

  /** Creates a fleet that keeps its logs in a directory. */
  public Fleet(Path directory) {
    this.directory = directory;
  }

  /** Starts all processes, applies the deployment, and waits until every VM serves it. */
  public void start(double requestsPerSecond) {
    int ports = DeploymentFiles.servers() + DeploymentFiles.candidateServers();
    for (int i = 0; i < ports; i++) {
      backendPorts.add(Ports.next());
    }
    platform = standIn("platform", List.of("platform", "--listen", "127.0.0.1:" + platformPort));
    backends =
        standIn(
            "backend",
            List.of(
                "backend",
                "--listen",
                backendPorts.stream().map(port -> "127.0.0.1:" + port).collect(commas()),
                "--slots",
                String.valueOf(DeploymentFiles.SLOTS)));
    awaitPort(platformPort);
    awaitPort(backendPorts.get(backendPorts.size() - 1));
    for (int domain = 1; domain <= DeploymentFiles.DOMAINS.size(); domain++) {
      network.relay(
          new InetSocketAddress("127.0." + domain + ".100", relayPort),
          new InetSocketAddress("127.0.0.1", platformPort),
          domain);
    }
    PLANS.forEach(this::relayPeers);
    PLANS.forEach(plan -> startVm(plan.name()));
    rate = requestsPerSecond;
    apply(Optional.empty());
    await("every VM is ready", START_LIMIT, this::everyVmIsReady);
    await("all backend servers are owned", START_LIMIT, this::allServersOwned);
  }

  /** Declares a candidate version of the catalogue that has to carry all traffic by a time. */
  public void declareCandidate(Instant carryBy) {
    apply(Optional.of(carryBy));
  }

  private void apply(Optional<Instant> candidateCarryBy) {
    Path files =
        new DeploymentFiles(backendPorts)
            .write(directory.resolve("declared"), rate, candidateCarryBy);
    command("apply", "-f", files.toString()).expectExit(0);
  }

  /** Returns the position of the first backend server of the candidate version. */
  public int firstCandidate() {
    return DeploymentFiles.servers();
  }

  private static Collector<CharSequence, ?, String> commas() {
    return Collectors.joining(",");
  }

  private void relayPeers(VmPlan plan) {
    String ip = ip(plan);
    network.relay(
        new InetSocketAddress(ip, peersRelayPort),
        new InetSocketAddress(ip, peersPort),
        plan.domain());
  }

  /** Starts a VM, or a new incarnation of one that has ended. */
  public void startVm(String name) {
    VmPlan plan = plan(name);
    callersPorts.putIfAbsent(name, Ports.next());
    operatorsPorts.putIfAbsent(name, Ports.next());
    String domain = DeploymentFiles.DOMAINS.get(plan.domain() - 1);
    List<String> arguments =
        List.of(
            "serve",
            "--vm",
            name,
            "--failure-domain",
            domain,
            "--region",
            domain.substring(0, domain.indexOf('-')),
            "--callers-listen",
            "127.0.0.1:" + callersPorts.get(name),
            "--operators-listen",
            "127.0.0.1:" + operatorsPorts.get(name),
            "--peers-listen",
            ip(plan) + ":" + peersPort,
            "--peers-advertise",
            ip(plan) + ":" + peersRelayPort,
            "--platform",
            "http://127.0." + plan.domain() + ".100:" + relayPort,
            "--peers",
            PLANS.stream().map(peer -> ip(peer) + ":" + peersRelayPort).collect(commas()),
            "--traffic-threads",
            "2",
            "--peer-secret",
            SECRET);
    vms.put(name, ChildProcess.start(name, directory, TOUCANRACK, arguments));
  }

  /** Returns the process of a VM. */
  public ChildProcess vm(String name) {
    return vms.get(name);
  }

  /** Returns the callers' address of a VM. */
  public String callersAddress(String name) {
    return "127.0.0.1:" + callersPorts.get(name);
  }

  /** Returns the names of all VMs. */
  public List<String> vmNames() {
    return PLANS.stream().map(VmPlan::name).toList();
  }

  /** Cuts a failure domain off from the platform and all other failure domains. */
  public void cutOff(String domain) {
    int cut = 1 + DeploymentFiles.DOMAINS.indexOf(domain);
    for (int other = 0; other <= DeploymentFiles.DOMAINS.size(); other++) {
      if (other != cut) {
        network.cut(cut, other);
        network.cut(other, cut);
      }
    }
    // The relay to the platform belongs to the domain, so its inner direction is cut as well.
    network.cut(0, cut);
    network.cut(cut, 0);
  }

  /** Heals all partitions. */
  public void heal() {
    network.heal();
  }

  /** Sets faults of the platform stand-in. */
  public void platformFault(String body) {
    post(platformPort, "/fault", body);
  }

  /** Changes the state of all backend servers. */
  public void controlBackends(String body) {
    backendPorts.forEach(port -> post(port, "/control", body));
  }

  /** Changes the state of one backend server, by position. */
  public void controlBackend(int index, String body) {
    post(backendPorts.get(index), "/control", body);
  }

  /** Returns what one backend server recorded, by position. */
  public JsonNode ran(int index) {
    return get("127.0.0.1:" + backendPorts.get(index), "/ran?ids=true");
  }

  /** Returns what all backend servers recorded. */
  public List<JsonNode> ran() {
    List<JsonNode> records = new ArrayList<>();
    for (int i = 0; i < backendPorts.size(); i++) {
      records.add(ran(i));
    }
    return records;
  }

  /** Returns the status of a VM. */
  public JsonNode status(String name) {
    return get("127.0.0.1:" + operatorsPorts.get(name), "/status");
  }

  /** Returns a look-up answer of a VM. */
  public JsonNode lookUp(String name, String service) {
    return get(callersAddress(name), "/_toucanrack/lookup?ticket=true&service=" + service);
  }

  /** Runs an operator's command against the platform. */
  public CommandResult command(String... arguments) {
    List<String> all = new ArrayList<>(List.of(arguments));
    all.addAll(List.of("--platform", "http://127.0.0.1:" + platformPort));
    ChildProcess process = ChildProcess.start(arguments[0], directory, TOUCANRACK, all);
    process.await();
    try {
      return new CommandResult(process.exitCode(), Files.readString(process.log()));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Watches a condition until it holds; fails when the limit has passed. */
  public void await(String what, Duration limit, BooleanSupplier condition) {
    long endNanos = System.nanoTime() + limit.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - endNanos > 0) {
        throw new AssertionError("Not within " + limit.toSeconds() + " s: " + what);
      }
      pause(20);
    }
  }

  /** Waits without a condition, for loads of a fixed length. */
  public static void pause(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    vms.values().forEach(ChildProcess::resume);
    vms.values().forEach(ChildProcess::close);
    if (backends != null) {
      backends.close();
    }
    if (platform != null) {
      platform.close();
    }
    network.close();
  }

  private boolean everyVmIsReady() {
    return vmNames().stream().allMatch(name -> status(name).path("ready").asBoolean());
  }

  private boolean allServersOwned() {
    int owned = 0;
    for (String name : vmNames()) {
      for (JsonNode service : status(name).path("services")) {
        owned += service.path("ownedServers").asInt();
      }
    }
    return owned == DeploymentFiles.servers();
  }

  private ChildProcess standIn(String name, List<String> arguments) {
    return ChildProcess.start(name, directory, STANDIN, arguments);
  }

  private void awaitPort(int port) {
    await(
        "port " + port + " listens",
        START_LIMIT,
        () -> {
          try (Socket socket = new Socket("127.0.0.1", port)) {
            return socket.isConnected();
          } catch (IOException e) {
            return false;
          }
        });
  }

  private JsonNode get(String address, String path) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + address + path))
              .timeout(Duration.ofSeconds(2))
              .build();
      String body = http.send(request, HttpResponse.BodyHandlers.ofString()).body();
      return json.readTree(body);
    } catch (IOException e) {
      return json.createObjectNode();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  private void post(int port, String path, String body) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
              .POST(HttpRequest.BodyPublishers.ofString(body))
              .build();
      int status = http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
      if (status >= 300) {
        throw new IllegalStateException(path + " was answered " + status);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static VmPlan plan(String name) {
    return PLANS.stream().filter(plan -> plan.name().equals(name)).findFirst().orElseThrow();
  }

  private static String ip(VmPlan plan) {
    return "127.0." + plan.domain() + "." + plan.number();
  }
}
