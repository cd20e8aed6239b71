package org.toucanrack.internal.configuration;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.toucanrack.ToucanrackException;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/** Reads the declared backend servers, both single ones and groups. Not thread-safe. */
final class BackendServerReader {

  private static final int MAX_PORT = 65_535;
  private static final long MAX_GROUP_SIZE = 10_000;
  private static final long MAX_SLOTS = 10_000;
  private static final long MAX_CONNECTIONS = 1_000_000;
  private static final Pattern PORT_RANGE = Pattern.compile("([0-9]{1,5})-([0-9]{1,5})");
  private static final Pattern IPV4 =
      Pattern.compile("((25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)(\\.(?!$)|$)){4}");

  private final Faults faults;
  private final DeclaredNames<FailureDomainId> domains;
  private final ServiceNames services;
  private final DeclaredNames<BackendServerId> serverNames = new DeclaredNames<>("backend server");
  private final Map<String, Position> endpoints = new HashMap<>();
  private final List<BackendServer> servers = new ArrayList<>();

  BackendServerReader(
      Faults faults, DeclaredNames<FailureDomainId> domains, ServiceNames services) {
    this.faults = faults;
    this.domains = domains;
    this.services = services;
  }

  void read(Section root) {
    root.sections("backendServers", "backend server").forEach(this::readSingle);
    root.sections("backendServerGroups", "backend server group").forEach(this::readGroup);
  }

  List<BackendServer> servers() {
    return servers;
  }

  /** The fields that single servers and groups share. */
  private record CommonFields(
      ServiceId service, VersionId version, String host, int slots, int maxConnections) {}

  private void readSingle(Section section) {
    faults
        .unlessFaulty(
            () -> {
              BackendServerId id =
                  section.uniqueName("name", "orders-1", BackendServerId::new, serverNames);
              CommonFields common = commonFields(section);
              FailureDomainId domain =
                  section.reference("failureDomain", FailureDomainId::new, domains);
              int port = (int) section.integer("port", 1, MAX_PORT);
              section.rejectUnknownFields();
              checkEndpoint(section, "port", common.host(), port);
              return () -> server(id, common, domain, port);
            })
        .ifPresent(servers::add);
  }

  private void readGroup(Section section) {
    faults
        .unlessFaulty(
            () -> {
              Optional<BackendServerId> group =
                  section.name("name", "orders", BackendServerId::new);
              CommonFields common = commonFields(section);
              List<FailureDomainId> failureDomains = failureDomains(section);
              int firstPort = firstPort(section, failureDomains.size());
              section.rejectUnknownFields();
              String prefix = group.map(BackendServerId::value).orElse("invalid");
              return () -> groupMembers(section, prefix, common, failureDomains, firstPort);
            })
        .ifPresent(servers::addAll);
  }

  private CommonFields commonFields(Section section) {
    ServiceId service = section.reference("service", ServiceId::new, services.services());
    boolean knownService = services.services().contains(service);
    VersionId version =
        section.reference(
            "version",
            VersionId::new,
            knownService ? services.versionsOf(service) : DeclaredNames.acceptingAny());
    String host = host(section);
    int slots = (int) section.integer("slots", 1, MAX_SLOTS);
    int maxConnections = (int) section.integer("maxConnections", slots, MAX_CONNECTIONS);
    return new CommonFields(service, version, host, slots, maxConnections);
  }

  /** Returns the failure domain of each server of a group, in the order of declaration. */
  private List<FailureDomainId> failureDomains(Section section) {
    List<FailureDomainId> failureDomains = new ArrayList<>();
    Optional<Section> counts = section.requiredSection("countPerFailureDomain");
    counts.ifPresent(
        fields -> {
          for (String field : List.copyOf(fields.fieldNames())) {
            Optional<FailureDomainId> domain = fields.fieldAsId(field, FailureDomainId::new);
            domain.ifPresent(id -> fields.checkReference(fields.position(field), id, domains));
            long count = fields.integer(field, 0, MAX_GROUP_SIZE);
            domain.ifPresent(
                id -> {
                  for (long i = 0; i < count; i++) {
                    failureDomains.add(id);
                  }
                });
          }
        });
    return failureDomains;
  }

  private int firstPort(Section section, int size) {
    Optional<String> text = section.text("ports", "20001-20015");
    Matcher matcher = PORT_RANGE.matcher(text.orElse("1-1"));
    if (!matcher.matches()) {
      section.addFault(
          "ports",
          "'%s' is not a port range. Write FIRST-LAST, for example 20001-20015."
              .formatted(text.orElseThrow()));
      return 1;
    }
    int first = Integer.parseInt(matcher.group(1));
    int last = Integer.parseInt(matcher.group(2));
    if (text.isPresent()) {
      checkRange(section, first, last, size);
    }
    return first;
  }

  private static void checkRange(Section section, int first, int last, int size) {
    if (first < 1 || last > MAX_PORT || first > last) {
      section.addFault(
          "ports",
          "%d-%d is not a valid port range. Write two increasing numbers from 1 to %d."
              .formatted(first, last, MAX_PORT));
    } else if (last - first + 1 != size) {
      section.addFault(
          "ports",
          "the range %d-%d holds %d ports, but the group has %d servers. Write %d-%d."
              .formatted(first, last, last - first + 1, size, first, first + size - 1));
    }
  }

  /** Returns the servers of a group. Stops at the first server with a fault. */
  private List<BackendServer> groupMembers(
      Section section,
      String prefix,
      CommonFields common,
      List<FailureDomainId> failureDomains,
      int firstPort) {
    Map<FailureDomainId, Integer> lastNumbers = new HashMap<>();
    List<BackendServer> members = new ArrayList<>();
    int before = faults.reportCount();
    for (int i = 0; i < failureDomains.size() && faults.reportCount() == before; i++) {
      FailureDomainId failureDomain = failureDomains.get(i);
      int number = lastNumbers.merge(failureDomain, 1, Integer::sum);
      Optional<BackendServerId> id = memberId(section, prefix + "-" + failureDomain + "-" + number);
      checkEndpoint(section, "ports", common.host(), firstPort + i);
      if (id.isPresent()) {
        members.add(server(id.get(), common, failureDomain, firstPort + i));
      }
    }
    return members;
  }

  private Optional<BackendServerId> memberId(Section section, String text) {
    try {
      BackendServerId id = new BackendServerId(text);
      if (serverNames.add(id, section.position())) {
        return Optional.of(id);
      }
      section.addFault(
          "name",
          "the server name '%s' is already used at %s. Choose another group name."
              .formatted(id, serverNames.position(id)));
    } catch (ToucanrackException e) {
      section.addFault("name", e.getMessage() + " Choose a shorter group name.");
    }
    return Optional.empty();
  }

  private static BackendServer server(
      BackendServerId id, CommonFields common, FailureDomainId domain, int port) {
    return new BackendServer(
        id,
        common.service(),
        common.version(),
        domain,
        common.host(),
        port,
        common.slots(),
        common.maxConnections());
  }

  private void checkEndpoint(Section section, String field, String host, int port) {
    String endpoint = host + ":" + port;
    Position earlier = endpoints.putIfAbsent(endpoint, section.position(field));
    if (earlier != null) {
      section.addFault(
          field,
          "%s is already used by a server at %s. Choose another port."
              .formatted(endpoint, earlier));
    }
  }

  private static String host(Section section) {
    Optional<String> host = section.text("host", "10.0.0.1");
    if (host.isPresent() && !isIpAddress(host.get())) {
      section.addFault(
          "host",
          "'%s' is not an IP address. Write one, for example 10.0.0.1.".formatted(host.get()));
    }
    return host.orElse("");
  }

  private static boolean isIpAddress(String host) {
    if (host.indexOf(':') < 0) {
      return IPV4.matcher(host).matches();
    }
    try {
      // InetAddress treats a text with a colon as a literal address and looks up no name.
      return InetAddress.getByName(host) != null;
    } catch (UnknownHostException e) {
      return false;
    }
  }
}
