package org.toucanrack.standin.backend;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;

/** Records the requests that ran on one backend server. Confined to the event loop. */
final class RanRecord {

  /** Keys of callers start with {@code key-} or, as granted by toucanrack, {@code trk_}. */
  private static final Pattern KEY = Pattern.compile("(?<![A-Za-z0-9_-])(key-|trk_)");

  /** A request that ran. */
  record Entry(String requestId, String callerId, String customer, boolean idempotent) {}

  private final Map<String, Integer> runsByCallerId = new LinkedHashMap<>();
  private final Map<String, Integer> readsByCallerId = new LinkedHashMap<>();
  private final Map<String, Integer> runsByRequestId = new LinkedHashMap<>();
  private final Map<String, Integer> byCustomer = new TreeMap<>();
  private final Map<String, Integer> headersSeen = new TreeMap<>();
  private long ran;
  private long shed;
  private long cancelled;
  private int greatestConcurrency;
  private boolean keySeen;

  void ran(Entry entry, int concurrency) {
    ran++;
    greatestConcurrency = Math.max(greatestConcurrency, concurrency);
    byCustomer.merge(entry.customer() == null ? "" : entry.customer(), 1, Integer::sum);
    if (entry.requestId() != null) {
      runsByRequestId.merge(entry.requestId(), 1, Integer::sum);
    }
    if (entry.callerId() != null) {
      Map<String, Integer> runs = entry.idempotent() ? readsByCallerId : runsByCallerId;
      runs.merge(entry.callerId(), 1, Integer::sum);
    }
  }

  void shed() {
    shed++;
  }

  void cancelled() {
    cancelled++;
  }

  void header(String name, String value) {
    headersSeen.merge(name.toLowerCase(java.util.Locale.ROOT), 1, Integer::sum);
    text(value);
  }

  /** Checks a decoded query or header value for a key. */
  void text(String value) {
    keySeen |= value != null && KEY.matcher(value).find();
  }

  /** Returns the record as JSON; with ids, also the number of runs by caller id. */
  Map<String, Object> describe(boolean withIds) {
    Map<String, Object> description = new LinkedHashMap<>();
    description.put("ran", ran);
    description.put("shed", shed);
    description.put("cancelled", cancelled);
    description.put("greatestConcurrency", greatestConcurrency);
    description.put("keySeen", keySeen);
    description.put("duplicates", repeated(runsByCallerId));
    description.put("repeatedReads", repeated(readsByCallerId).size());
    description.put("repeatedRequestIds", repeated(runsByRequestId).size());
    description.put("byCustomer", byCustomer);
    description.put("headersSeen", headersSeen);
    if (withIds) {
      description.put("runsByCallerId", runsByCallerId);
      description.put("readsByCallerId", readsByCallerId);
    }
    return description;
  }

  private static Map<String, Integer> repeated(Map<String, Integer> runs) {
    Map<String, Integer> repeated = new TreeMap<>();
    runs.forEach(
        (id, count) -> {
          if (count > 1) {
            repeated.put(id, count);
          }
        });
    return repeated;
  }
}
