package org.toucanrack.bench.measure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.toucanrack.bench.layout.Layout;
import org.toucanrack.bench.load.Answer;
import org.toucanrack.bench.load.LoadClient;
import org.toucanrack.bench.result.BackendRecords;
import org.toucanrack.configuration.BackendServer;

/** Controls the stand-ins of a running deployment over HTTP. Thread-safe. */
public final class TestBed {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int OK = 200;

  private final Layout layout;
  private final LoadClient client;

  /** Creates a controller of the deployment's stand-ins. */
  public TestBed(Layout layout, LoadClient client) {
    this.layout = layout;
    this.client = client;
  }

  /** Returns the layout of the deployment. */
  public Layout layout() {
    return layout;
  }

  /** Clears all records and faults of the backend servers. */
  public void resetBackendServers() {
    servers().forEach(server -> requireOk(client.post(server, "/reset", "{}").join(), server));
  }

  /** Sends control settings to all backend servers of a service. */
  public void controlService(String service, String body) {
    for (BackendServer server : layout.serversByService().get(service)) {
      control(Layout.address(server), body);
    }
  }

  /** Sends control settings to one backend server. */
  public void control(String server, String body) {
    requireOk(client.post(server, "/control", body).join(), server);
  }

  /** Sets the injected faults of the platform. */
  public void setPlatformFault(String body) {
    String platformAddress = layout.platformAddresses().get(0);
    requireOk(client.post(platformAddress, "/fault", body).join(), platformAddress);
  }

  /** Reads the records of all backend servers. */
  public BackendRecords backendRecords() {
    return BackendRecords.read(client, servers());
  }

  /**
   * Returns the milliseconds from the start of the drain to the last request start: 0 if no request
   * started since, negative if the server never drained.
   */
  public long drainMillis(String server) {
    Answer answer = client.send("GET", server, "/ran", Map.of()).join();
    try {
      JsonNode node = JSON.readTree(answer.body());
      return node.path("lastStartAfterDrainMillis").asLong(-1);
    } catch (IOException e) {
      throw new IllegalStateException("unreadable record of " + server, e);
    }
  }

  private List<String> servers() {
    return layout.deployment().backendServers().stream().map(Layout::address).toList();
  }

  private static void requireOk(Answer answer, String server) {
    if (answer.status() != OK) {
      throw new IllegalStateException(
          server + " answered " + answer.status() + " " + answer.body() + "; is it running?");
    }
  }
}
