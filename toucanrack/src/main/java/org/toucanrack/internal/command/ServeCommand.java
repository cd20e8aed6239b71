package org.toucanrack.internal.command;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.serve.EntryVm;
import org.toucanrack.internal.serve.ServeSettings;

/** Runs an entry VM. */
final class ServeCommand implements Command {

  static final Flag VM = Flag.of("vm", "NAME", "Name of this VM.");
  static final Flag FAILURE_DOMAIN =
      Flag.of("failure-domain", "NAME", "Failure domain of this VM.");
  static final Flag REGION = Flag.of("region", "NAME", "Region of this VM.");
  static final Flag CALLERS_LISTEN = Flag.of("callers-listen", "IP:PORT", "Address for callers.");
  static final Flag OPERATORS_LISTEN =
      Flag.of("operators-listen", "IP:PORT", "Address for operators.");
  static final Flag CALLERS_ADVERTISE =
      Flag.of(
          "callers-advertise",
          "IP:PORT",
          "Address that callers are told; by default the one listened on.");
  static final Flag PEERS_ADVERTISE =
      Flag.of(
          "peers-advertise",
          "IP:PORT",
          "Address that other VMs are told; by default the one listened on.");
  static final Flag PEERS_LISTEN = Flag.of("peers-listen", "IP:PORT", "Address for other VMs.");
  static final Flag PEERS =
      Flag.of("peers", "IP:PORT,...", "Peer addresses of other VMs to start with.");
  static final Flag TRAFFIC_THREADS =
      Flag.of("traffic-threads", "N", "Number of threads for traffic.").withDefault("2");
  static final Flag PEER_SECRET =
      Flag.of("peer-secret", "TEXT", "Secret that all VMs share, at least 16 characters.");
  static final Flag OPERATOR_TOKEN =
      Flag.of("operator-token", "TEXT", "Token that changes over the operators' port need.");

  private static final int MIN_SECRET_LENGTH = 16;
  private static final int MAX_TRAFFIC_THREADS = 256;

  @Override
  public String name() {
    return "serve";
  }

  @Override
  public String summary() {
    return "Runs an entry VM until it is told to stop.";
  }

  @Override
  public List<Flag> flags() {
    return List.of(
        VM,
        FAILURE_DOMAIN,
        REGION,
        CALLERS_LISTEN,
        OPERATORS_LISTEN,
        PEERS_LISTEN,
        CALLERS_ADVERTISE,
        PEERS_ADVERTISE,
        CommonFlags.PLATFORM,
        PEERS,
        TRAFFIC_THREADS,
        PEER_SECRET,
        OPERATOR_TOKEN);
  }

  @Override
  public ExitCode run(Invocation invocation) {
    EntryVm.run(serveSettings(invocation.settings()));
    return ExitCode.DONE;
  }

  /** Reads all settings, or throws with all their faults. */
  static ServeSettings serveSettings(Settings settings) {
    Optional<VmId> vm = settings.parsed(VM, VmId::new);
    Optional<FailureDomainId> failureDomain = settings.parsed(FAILURE_DOMAIN, FailureDomainId::new);
    Optional<RegionId> region = settings.parsed(REGION, RegionId::new);
    Optional<InetSocketAddress> callers = address(settings, CALLERS_LISTEN);
    Optional<InetSocketAddress> operators = address(settings, OPERATORS_LISTEN);
    Optional<InetSocketAddress> peers = address(settings, PEERS_LISTEN);
    Optional<InetSocketAddress> callersAdvertised = optionalAddress(settings, CALLERS_ADVERTISE);
    Optional<InetSocketAddress> peersAdvertised = optionalAddress(settings, PEERS_ADVERTISE);
    List<URI> platformAddresses = settings.addresses(CommonFlags.PLATFORM);
    List<InetSocketAddress> initialPeers =
        settings.list(PEERS).stream()
            .flatMap(text -> SocketAddresses.parse(settings, PEERS, text).stream())
            .toList();
    int trafficThreads = (int) settings.number(TRAFFIC_THREADS, 1, MAX_TRAFFIC_THREADS);
    String peerSecret = peerSecret(settings);
    String logFormat = settings.oneOf(CommonFlags.LOG_FORMAT, "plain", "json");
    settings.throwIfFaulty();
    return new ServeSettings(
        vm.orElseThrow(),
        failureDomain.orElseThrow(),
        region.orElseThrow(),
        callers.orElseThrow(),
        operators.orElseThrow(),
        peers.orElseThrow(),
        callersAdvertised.or(() -> callers).orElseThrow(),
        peersAdvertised.or(() -> peers).orElseThrow(),
        platformAddresses,
        initialPeers,
        trafficThreads,
        logFormat.equals("json") ? ServeSettings.LogFormat.JSON : ServeSettings.LogFormat.PLAIN,
        peerSecret,
        settings.optional(OPERATOR_TOKEN));
  }

  private static Optional<InetSocketAddress> optionalAddress(Settings settings, Flag flag) {
    return settings.optional(flag).flatMap(text -> SocketAddresses.parse(settings, flag, text));
  }

  private static Optional<InetSocketAddress> address(Settings settings, Flag flag) {
    String text = settings.required(flag);
    return text.isEmpty() ? Optional.empty() : SocketAddresses.parse(settings, flag, text);
  }

  private static String peerSecret(Settings settings) {
    String secret = settings.required(PEER_SECRET);
    if (!secret.isEmpty() && secret.length() < MIN_SECRET_LENGTH) {
      settings.addFault(
          "%s has %d characters. Give at least %d."
              .formatted(PEER_SECRET, secret.length(), MIN_SECRET_LENGTH));
    }
    return secret;
  }
}
