package org.toucanrack.bench.result;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.toucanrack.bench.load.Answer;
import org.toucanrack.bench.load.LoadClient;

/**
 * The execution records of the backend servers: which requests ran, how often, and for which
 * customer. The collections are filled while the records are read.
 *
 * @param writeRuns run counts of non-idempotent requests, by caller request id
 * @param readRuns run counts of reads, by caller request id
 * @param runsByCustomer run counts of all requests, by customer
 * @param shed requests shed for lack of a free slot
 * @param keySeen whether any server received a customer key
 * @param unreadServers servers whose records could not be read
 */
public record BackendRecords(
    Map<String, Integer> writeRuns,
    Map<String, Integer> readRuns,
    Map<String, Integer> runsByCustomer,
    long shed,
    boolean keySeen,
    List<String> unreadServers) {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Reads the records of all servers. */
  public static BackendRecords read(LoadClient client, List<String> servers) {
    BackendRecords records =
        new BackendRecords(
            new HashMap<>(),
            new HashMap<>(),
            new TreeMap<>(),
            0,
            false,
            new java.util.ArrayList<>());
    for (String server : servers) {
      Answer answer = client.send("GET", server, "/ran?ids=true", Map.of()).join();
      records = records.withAnswer(server, answer);
    }
    return records;
  }

  private BackendRecords withAnswer(String server, Answer answer) {
    try {
      JsonNode node = JSON.readTree(answer.body());
      addCounts(writeRuns, node.path("runsByCallerId"));
      addCounts(readRuns, node.path("readsByCallerId"));
      addCounts(runsByCustomer, node.path("byCustomer"));
      return new BackendRecords(
          writeRuns,
          readRuns,
          runsByCustomer,
          shed + node.path("shed").asLong(),
          keySeen || node.path("keySeen").asBoolean(),
          unreadServers);
    } catch (IOException e) {
      unreadServers.add(server);
      return this;
    }
  }

  private static void addCounts(Map<String, Integer> totals, JsonNode counts) {
    counts
        .fields()
        .forEachRemaining(
            count -> totals.merge(count.getKey(), count.getValue().asInt(), Integer::sum));
  }

  /** Returns the number of non-idempotent requests that ran more than once. */
  public long duplicates() {
    return writeRuns.values().stream().filter(count -> count > 1).count();
  }

  /** Returns the number of requests that ran although they were reported as not run. */
  public long falseNotRun(Set<String> notRunIds) {
    return notRunIds.stream().filter(this::ran).count();
  }

  /** Returns the number of requests that were answered although no server ran them. */
  public long answeredWithoutRun(Set<String> answeredIds) {
    return answeredIds.stream().filter(id -> !ran(id)).count();
  }

  private boolean ran(String id) {
    return writeRuns.containsKey(id) || readRuns.containsKey(id);
  }

  /** Returns all figures by their keys in the JSON result. */
  public Map<String, Object> describe() {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("duplicates", duplicates());
    figures.put("shed", shed);
    figures.put("keySeen", keySeen);
    figures.put("runsByCustomer", runsByCustomer);
    figures.put("unreadServers", unreadServers);
    return figures;
  }
}
