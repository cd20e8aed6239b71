package org.toucanrack.internal.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;

/** Guards against invalid files that are accepted, or reported without position or advice. */
class FaultsTest {

  private static final Path EXAMPLE = Path.of("..", "examples", "kalahari");

  @TempDir Path directory;

  @Test
  void reportsAllFaultsWithFileLineAndAdvice() throws IOException {
    copyExample();
    edit("deployment.yaml", "    capFraction: 0.1", "    capFraction: 1.5\n    cap: 2");
    edit("deployment.yaml", "second: oshana", "second: namib");
    edit("deployment.yaml", "[oshana-a, oshana-b]", "[oshana-a, erongo-b]");
    edit("services.yaml", "timeoutMillis: 4000", "timeoutMillis: '4000'");
    edit("services.yaml", "methods: [POST]", "methods: [post]");
    edit("services.yaml", "pathPrefix: /public", "pathPrefix: public");
    edit("services.yaml", "idempotent: true", "idempotent: yes");
    edit("services.yaml", "name: tracking", "name: orders");
    edit("backend-servers.yaml", "service: payments", "service: paiments");
    edit("backend-servers.yaml", "ports: 20016-20027", "ports: 20015-20025");
    edit("backend-servers.yaml", "slots: 5", "slots: 0");
    edit("customers.yaml", "burst: 60", "burst: 4");
    edit("customers.yaml", "name: etosha-stationers", "name: Etosha");
    edit("customers.yaml", "name: anonymous", "name: nobody");

    Approvals.verify(failure().getMessage());
  }

  @Test
  void reportsInvalidYamlDuplicateFieldsAndAliases() throws IOException {
    write("a.yaml", "name: x\nname: y\nregions: &r []\nlinks: *r\n");
    write("b.yaml", "services: [\n  - name: {\n");
    write("c.yaml", "name: z\n---\nother: 1\n");
    write("d.yaml", "- name\n");

    Approvals.verify(failure().getMessage());
  }

  @Test
  void reportsAmbiguousVersionsAndInvalidSingleServers() throws IOException {
    copyExample();
    edit("services.yaml", "      - name: v1", "      - name: v1\n      - name: v2");
    edit("services.yaml", "  # A card", "      - name: v3\n        carryBy: tomorrow\n  # A card");
    write(
        "single.yaml",
        "backendServers:\n  - name: extra\n    service: orders\n    version: v1\n"
            + "    failureDomain: khomas-a\n    host: localhost\n    port: 20016\n"
            + "    slots: 3\n    maxConnections: 2\n");

    Approvals.verify(failure().getMessage());
  }

  @Test
  void reportsGroupsWithWrongNamesAndPorts() throws IOException {
    copyExample();
    edit("backend-servers.yaml", "name: catalogue", "name: " + "c".repeat(55));
    edit("backend-servers.yaml", "ports: 20016-20027", "ports: 65530-65541");
    edit("backend-servers.yaml", "ports: 20028-20039", "ports: 20001-20012");
    edit("backend-servers.yaml", "ports: 20040-20051", "ports: 20040");
    edit("backend-servers.yaml", "    host: 127.0.0.1\n    ports: 20040", "    ports: 20040");

    Approvals.verify(failure().getMessage());
  }

  @Test
  void reportsVersionWithoutBackendServer() throws IOException {
    copyExample();
    edit(
        "services.yaml",
        "      - name: v1",
        "      - name: v1\n      - name: v2\n        carryBy: '2027-01-31T18:00:00Z'");

    Approvals.verify(failure().getMessage());
  }

  @Test
  void readsListsOfSeveralFilesAsOne() throws IOException {
    copyExample();
    write("more-customers.yaml", "customers:\n  - {name: new, requestsPerSecond: 1, burst: 6}\n");

    assertEquals(10, ConfigurationDirectory.read(directory).customers().size());
  }

  @Test
  void reportsDirectoryWithoutFiles() {
    assertTrue(failure().getMessage().contains("has no *.yaml file"));
  }

  private ToucanrackException failure() {
    ToucanrackException failure =
        assertThrows(ToucanrackException.class, () -> ConfigurationDirectory.read(directory));
    assertEquals(ErrorCode.INVALID_CONFIGURATION, failure.code());
    return failure;
  }

  private void copyExample() throws IOException {
    try (Stream<Path> files = Files.list(EXAMPLE)) {
      for (Path file : files.toList()) {
        Files.copy(file, directory.resolve(file.getFileName()));
      }
    }
  }

  /** Replaces the first occurrence. */
  private void edit(String file, String original, String replacement) throws IOException {
    String text = Files.readString(directory.resolve(file));
    int start = text.indexOf(original);
    assertTrue(start >= 0, () -> file + " lacks " + original);
    write(file, text.substring(0, start) + replacement + text.substring(start + original.length()));
  }

  private void write(String file, String text) throws IOException {
    Files.writeString(directory.resolve(file), text);
  }
}
