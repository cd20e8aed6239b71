package org.toucanrack.scenarios.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Writes the YAML declaration of the deployment that scenarios use: two services, each with two
 * backend servers in each of three failure domains. Backend servers take their ports from the given
 * list in the order of declaration, those of the candidate version last.
 */
final class DeploymentFiles {

  static final List<String> FAILURE_DOMAINS = List.of("alpha-a", "alpha-b", "beta-a");
  static final int SLOTS_PER_SERVER = 3;

  private final List<Integer> backendPorts;

  DeploymentFiles(List<Integer> backendPorts) {
    this.backendPorts = backendPorts;
  }

  static int serverCount() {
    return 2 * 2 * FAILURE_DOMAINS.size();
  }

  /** Returns the number of backend servers of the candidate version, one in each failure domain. */
  static int candidateServerCount() {
    return FAILURE_DOMAINS.size();
  }

  Path write(Path directory, double requestsPerSecond, Optional<Instant> candidateCarryBy) {
    StringBuilder yaml = new StringBuilder();
    yaml.append(
        """
        name: scenario
        regions:
          - name: alpha
            failureDomains: [alpha-a, alpha-b]
          - name: beta
            failureDomains: [beta-a]
        links:
          - {first: alpha, second: beta, bitsPerSecond: 1000000000}
        rules:
          shift: {capFraction: 0.5, windowSeconds: 2}
          lookupTtlSeconds: 3
          keyFreshnessSeconds: 4
        services:
          - name: catalogue
            retryBudgetFraction: 0.1
            maxQueueLength: 100
            routes:
              - name: public
                methods: [GET]
                pathPrefix: /public
                idempotent: true
                open: true
                timeoutMillis: 2000
              - name: browse
                methods: [GET]
                pathPrefix: /
                idempotent: true
                timeoutMillis: 2000
            versions: [{name: v1}CANDIDATE]
          - name: orders
            retryBudgetFraction: 0.1
            maxQueueLength: 100
            routes:
              - name: place
                methods: [POST]
                pathPrefix: /
                idempotent: false
                timeoutMillis: 3000
              - name: status
                methods: [GET]
                pathPrefix: /
                idempotent: true
                timeoutMillis: 2000
            versions: [{name: v1}]
        backendServers:
        """);
    int nextPort = 0;
    for (String failureDomain : FAILURE_DOMAINS) {
      for (String service : List.of("catalogue", "orders")) {
        for (int number = 1; number <= 2; number++) {
          yaml.append(
              serverYaml(service, "v1", failureDomain, number, backendPorts.get(nextPort++)));
        }
      }
    }
    if (candidateCarryBy.isPresent()) {
      for (String failureDomain : FAILURE_DOMAINS) {
        yaml.append(serverYaml("catalogue", "v2", failureDomain, 1, backendPorts.get(nextPort++)));
      }
    }
    yaml.append("customers:\n");
    for (String customer : List.of("press", "studio", "anonymous")) {
      yaml.append(
          "  - {name: %s, requestsPerSecond: %s, burst: %s}%n"
              .formatted(customer, requestsPerSecond, Math.max(1, requestsPerSecond)));
    }
    try {
      Files.createDirectories(directory);
      String candidate =
          candidateCarryBy.map(time -> ", {name: v2, carryBy: '" + time + "'}").orElse("");
      Files.writeString(
          directory.resolve("deployment.yaml"), yaml.toString().replace("CANDIDATE", candidate));
      return directory;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String serverYaml(
      String service, String version, String failureDomain, int number, int port) {
    return ("  - {name: %s-%s-%s-%d, service: %s, version: %s, failureDomain: %s, host: 127.0.0.1,"
            + " port: %d, slots: %d, maxConnections: 350}\n")
        .formatted(
            service,
            version,
            failureDomain,
            number,
            service,
            version,
            failureDomain,
            port,
            SLOTS_PER_SERVER);
  }
}
