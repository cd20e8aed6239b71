package org.toucanrack.internal.observe;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Timeline of one request from the decision logs of all VMs, with the cause of its outcome.
 * Immutable and thread-safe.
 *
 * <pre>{@code
 * RequestTimeline.read(Files.lines(log), "9c41d07be2a35f68").lines().forEach(System.out::println);
 * }</pre>
 */
public final class RequestTimeline {

  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Causes by prefix of the outcome in an {@code answer} line; the first matching prefix applies.
   */
  private static final List<Map.Entry<String, String>> CAUSES =
      List.of(
          Map.entry("answered", "backend server {server} answered with {status}"),
          Map.entry("timeout-unsent", "the time passed before a backend server could be chosen"),
          Map.entry(
              "timeout", "the time passed while backend server {server} worked on the request"),
          Map.entry(
              "no-server", "no backend server of the service may be used, see servers-excluded"),
          Map.entry(
              "full", "each backend server of the object would have let it wait for too long"),
          Map.entry(
              "shed",
              "the service was scarce, and the wait too long for a request of rank {priority}"),
          Map.entry("servers-unreached", "the backend servers could not be reached"),
          Map.entry(
              "not-run", "backend server {server} refused it as not run, and it was not repeated"),
          Map.entry("spoiled-answer", "the answer of backend server {server} could not be trusted"),
          Map.entry("server-error", "backend server {server} failed, and it was not repeated"),
          Map.entry("stopping", "the VM was stopping on plan"),
          Map.entry("no-configuration", "the VM had no configuration yet"),
          Map.entry("no-route", "no route of rules version {rules} fits host and path"),
          Map.entry("unknown-key", "no customer of rules version {rules} holds the key"));

  private static final String RESPONSE_HELD = "response-held";

  private final String requestId;
  private final List<JsonNode> events;

  private RequestTimeline(String requestId, List<JsonNode> events) {
    this.requestId = requestId;
    this.events = List.copyOf(events);
  }

  /** Reads log lines of any VMs in any order. Text before the first brace of a line is ignored. */
  public static RequestTimeline read(Stream<String> logLines, String requestId) {
    List<JsonNode> events = new ArrayList<>();
    logLines
        .filter(line -> line.contains(requestId))
        .forEach(line -> parse(line, requestId).ifPresent(events::add));
    events.sort(Comparator.comparing(event -> event.path("time").asText()));
    return new RequestTimeline(requestId, events);
  }

  private static Optional<JsonNode> parse(String line, String requestId) {
    int start = line.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode event = JSON.readTree(line.substring(start));
      return event.path("request").asText().equals(requestId)
          ? Optional.of(event)
          : Optional.empty();
    } catch (JsonProcessingException e) {
      // A line that was truncated when its process ended is not reliable, so it is skipped.
      return Optional.empty();
    }
  }

  /** Returns whether any VM logged the request. */
  public boolean isLogged() {
    return !events.isEmpty();
  }

  /** Returns one line per decision, followed by a line with the cause. */
  public List<String> lines() {
    List<String> lines = new ArrayList<>();
    events.forEach(event -> lines.add(describe(event)));
    lines.add("cause: " + cause());
    return lines;
  }

  private static String describe(JsonNode event) {
    StringBuilder line =
        new StringBuilder()
            .append(event.path("time").asText())
            .append(' ')
            .append(event.path("vm").asText())
            .append(' ')
            .append(event.path("event").asText());
    for (Iterator<Map.Entry<String, JsonNode>> fields = event.fields(); fields.hasNext(); ) {
      Map.Entry<String, JsonNode> field = fields.next();
      if (!List.of("time", "vm", "event", "request").contains(field.getKey())) {
        line.append(' ').append(field.getKey()).append('=').append(field.getValue().asText());
      }
    }
    return line.toString();
  }

  private String cause() {
    if (events.isEmpty()) {
      return "no VM logged request "
          + requestId
          + ": it reached none, its line was dropped (see log-dropped), or it succeeded outside"
          + " the sample";
    }
    JsonNode last = events.get(events.size() - 1);
    if (last.path("event").asText().equals(RESPONSE_HELD) && events.size() > 1) {
      return causeAt(events.get(events.size() - 2))
          + fill(", and the answer was held {held_ms} ms behind earlier ones", last);
    }
    return causeAt(last);
  }

  private static String causeAt(JsonNode last) {
    return switch (last.path("event").asText()) {
      case "rate-refused" ->
          fill(
              "customer {customer} had used up the part {share} of its rate on VM {vm}, and no VM"
                  + " nearby had a token to lend",
              last);
      case "response-dropped" ->
          "the answer was replaced by 502: it did not fit into the memory for answers that are held"
              + " behind earlier ones";
      case "cancelled-behind-close" ->
          "it was cancelled, since an earlier answer closed its connection";
      case RESPONSE_HELD ->
          fill("the answer was held {held_ms} ms behind earlier ones of its connection", last);
      case "abandoned" -> fill("the caller left after {after_ms} ms", last);
      case "answer" -> answerCause(last);
      default -> "VM " + last.path("vm").asText() + " logged no end; it may have been killed";
    };
  }

  private static String answerCause(JsonNode answer) {
    String why = answer.path("why").asText();
    String text =
        CAUSES.stream()
            .filter(cause -> why.startsWith(cause.getKey()))
            .map(Map.Entry::getValue)
            .findFirst()
            .orElse("the connection to backend server {server} failed: {why}");
    return fill(text + " (status {status} after {ms} ms, {sends} sends)", answer);
  }

  private static String fill(String text, JsonNode event) {
    String filled = text;
    for (Iterator<Map.Entry<String, JsonNode>> fields = event.fields(); fields.hasNext(); ) {
      Map.Entry<String, JsonNode> field = fields.next();
      filled = filled.replace("{" + field.getKey() + "}", field.getValue().asText());
    }
    return filled.replaceAll("\\{[a-z_]+}", "-");
  }
}
