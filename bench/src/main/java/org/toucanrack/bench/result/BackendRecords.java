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
 * What the backend servers recorded: which requests ran, how often, and for whom.
 *
 * @param writeRuns runs of requests that must not repeat, by the caller's id
 * @param readRuns runs of reads, by the caller's id
 * @param runsByCustomer all runs, by customer
 * @param shed requests shed for lack of a free slot
 * @param keySeen whether any server saw a key
 * @param unreadServers servers that did not answer
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

  /** Returns the number of requests that ran more than once although they must not repeat. */
  public long duplicates() {
    return writeRuns.values().stream().filter(count -> count > 1).count();
  }

  /** Returns the number of requests reported as not run that ran. */
  public long falseNotRun(Set<String> notRunIds) {
    return notRunIds.stream().filter(this::ran).count();
  }

  /** Returns the number of requests reported as answered that no server ran. */
  public long answeredWithoutRun(Set<String> answeredIds) {
    return answeredIds.stream().filter(id -> !ran(id)).count();
  }

  private boolean ran(String id) {
    return writeRuns.containsKey(id) || readRuns.containsKey(id);
  }

  /** Returns all figures for the JSON result. */
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
