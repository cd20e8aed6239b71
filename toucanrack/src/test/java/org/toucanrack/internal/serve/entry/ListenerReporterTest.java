package org.toucanrack.internal.serve.entry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.message.HttpField;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.steering.HeaderNames;

class ListenerReporterTest {

  private static final HeaderNames NAMES =
      new HeaderNames(
          "Request-Id",
          "Deadline-Ms",
          "object",
          "Expect-Instance",
          "Tenant-Id",
          "Not-Executed",
          "Server-Load",
          "Server-Leaving",
          "Response-Stamp");

  private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
  private final DecisionLog log = new DecisionLog("vm-1", lines);
  private final EntryMetrics metrics = new EntryMetrics();
  private final ListenerReporter reporter = new ListenerReporter(NAMES, log, metrics);

  // Guards against a late answer whose cause no line tells, and against a line for each answer.
  @Test
  void longHoldsAreLoggedWithTheirRequest() {
    reporter.responseHeld(request("r-long"), ListenerReporter.LOGGED_HOLD_MS);
    reporter.responseHeld(request(unsampledId()), ListenerReporter.LOGGED_HOLD_MS - 1);
    log.close();

    String text = lines.toString(StandardCharsets.UTF_8);
    assertTrue(text.contains("\"event\":\"response-held\",\"request\":\"r-long\""), text);
    assertTrue(text.contains("\"held_ms\":100"), text);
    assertFalse(text.contains(unsampledId()), text);
  }

  // Guards against requests that are counted under another handling, or not at all.
  @Test
  void requestsAreCountedByHandling() {
    reporter.startedBehindOthers(request("r1"));
    reporter.startedBehindOthers(request("r2"));
    reporter.waitsForOthers(request("r3"));
    reporter.responseDropped(request("r4"));
    reporter.cancelledBehindClose(request("r5"));
    reporter.responseHeld(request("r2"), 250);

    String text = new String(metrics.scrape(), StandardCharsets.UTF_8);
    for (String sample :
        List.of(
            "toucanrack_pipelined_requests_total{handling=\"concurrent\"} 2.0",
            "toucanrack_pipelined_requests_total{handling=\"waited\"} 1.0",
            "toucanrack_pipelined_requests_total{handling=\"response-dropped\"} 1.0",
            "toucanrack_pipelined_requests_total{handling=\"cancelled\"} 1.0",
            "toucanrack_response_hold_seconds_sum 0.25")) {
      assertTrue(text.contains(sample), text);
    }
  }

  private static HttpMessage request(String id) {
    return HttpMessage.of(
        "GET / HTTP/1.1", List.of(new HttpField(NAMES.requestId(), id)), new byte[0]);
  }

  private static String unsampledId() {
    return IntStream.range(0, 100)
        .mapToObj(i -> "short-" + i)
        .filter(id -> !DecisionLog.isSampled(id))
        .findFirst()
        .orElseThrow();
  }
}
