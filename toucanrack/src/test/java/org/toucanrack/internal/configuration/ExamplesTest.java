package org.toucanrack.internal.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.toucanrack.configuration.Deployment;

/** Guards against examples that become invalid or whose declared sizes change. */
class ExamplesTest {

  private static final Path EXAMPLES = Path.of("..", "examples");

  @Test
  void kalahariHasTheDeclaredSizesAndPorts() {
    Deployment deployment = ConfigurationDirectory.read(EXAMPLES.resolve("kalahari"));

    assertEquals(6, deployment.failureDomains().size());
    assertEquals(15 + 3 * 12, deployment.backendServers().size());
    assertEquals(20001, deployment.backendServers().get(0).port());
    assertEquals(20051, deployment.backendServers().get(50).port());
    assertEquals(8 + 1, deployment.customers().size(), "8 customers and 'anonymous'");
  }

  @Test
  void sahaHasTheDeclaredSizesAndPorts() {
    Deployment deployment = ConfigurationDirectory.read(EXAMPLES.resolve("saha"));

    assertEquals(6, deployment.failureDomains().size());
    assertEquals(4 * 12, deployment.backendServers().size());
    assertEquals(21048, deployment.backendServers().get(47).port());
    assertEquals(8, deployment.customers().size());
  }
}
