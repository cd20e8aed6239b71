package org.toucanrack.standin.backend;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * Counts the requests that one backend server ran, shed or cancelled, detects repeated runs by
 * request id, and checks requests for API keys. Confined to the event loop.
 */
final class ExecutionLog {

  /**
   * API keys start with {@code key-} or, if toucanrack granted them, with {@code trk_}. A prefix
   * inside a longer word does not match, so that an idempotency key such as {@code order-key-1} is
   * not reported.
   */
  private static final Pattern API_KEY_PREFIX = Pattern.compile("(?<![A-Za-z0-9_-])(key-|trk_)");

  /** A request that ran; idempotent requests are allowed to run more than once. */
  record ExecutedRequest(String requestId, String callerId, String customer, boolean idempotent) {}

  private final Map<String, Integer> runsByCallerId = new LinkedHashMap<>();
  private final Map<String, Integer> readsByCallerId = new LinkedHashMap<>();
  private final Map<String, Integer> runsByRequestId = new LinkedHashMap<>();
  private final Map<String, Integer> runsByCustomer = new TreeMap<>();
  private final Map<String, Integer> headerCounts = new TreeMap<>();
  private long executedCount;
  private long shedCount;
  private long cancelledCount;
  private int peakConcurrency;
  private boolean apiKeySeen;

  void recordExecution(ExecutedRequest request, int concurrency) {
    executedCount++;
    peakConcurrency = Math.max(peakConcurrency, concurrency);
    runsByCustomer.merge(request.customer() == null ? "" : request.customer(), 1, Integer::sum);
    if (request.requestId() != null) {
      runsByRequestId.merge(request.requestId(), 1, Integer::sum);
    }
    if (request.callerId() != null) {
      Map<String, Integer> runs = request.idempotent() ? readsByCallerId : runsByCallerId;
      runs.merge(request.callerId(), 1, Integer::sum);
    }
  }

  void recordShed() {
    shedCount++;
  }

  void recordCancelled() {
    cancelledCount++;
  }

  void recordHeader(String name, String value) {
    headerCounts.merge(name.toLowerCase(java.util.Locale.ROOT), 1, Integer::sum);
    scanForApiKey(value);
  }

  /** Searches a decoded query or header value for an API key. */
  void scanForApiKey(String value) {
    apiKeySeen |= value != null && API_KEY_PREFIX.matcher(value).find();
  }

  /** Returns the counts by their JSON keys, optionally with the runs of each caller request id. */
  Map<String, Object> describe(boolean withCallerIds) {
    Map<String, Object> description = new LinkedHashMap<>();
    description.put("ran", executedCount);
    description.put("shed", shedCount);
    description.put("cancelled", cancelledCount);
    description.put("greatestConcurrency", peakConcurrency);
    description.put("keySeen", apiKeySeen);
    description.put("duplicates", repeated(runsByCallerId));
    description.put("repeatedReads", repeated(readsByCallerId).size());
    description.put("repeatedRequestIds", repeated(runsByRequestId).size());
    description.put("byCustomer", runsByCustomer);
    description.put("headersSeen", headerCounts);
    if (withCallerIds) {
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
