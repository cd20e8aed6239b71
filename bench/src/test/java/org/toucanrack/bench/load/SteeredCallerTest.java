package org.toucanrack.bench.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a load tool that causes duplicate orders or reports a possible run as refusal. */
class SteeredCallerTest {

  /** Answers of the entry VM in order of requests: a verdict, or "lost" to close the connection. */
  private List<String> verdicts = List.of();

  private boolean ticketsIssued;
  private final AtomicInteger requestCount = new AtomicInteger();
  private final HttpServer entry = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
  private final LoadClient client = new LoadClient();
  private final SteeredCaller caller =
      new SteeredCaller(client, List.of(address()), Map.of("c", "secret"));

  SteeredCallerTest() throws IOException {
    entry.createContext("/", this::answer);
    entry.start();
  }

  @AfterEach
  void stop() {
    client.close();
    entry.stop(0);
  }

  @Test
  void orderWithoutTicketIsNotRepeatedAfterLostAnswer() {
    verdicts = List.of("lost", "ran");

    Caller.Result result = caller.send(order()).join();

    assertEquals(Outcome.UNKNOWN, result.outcome());
    assertEquals(1, requestCount.get());
  }

  @Test
  void orderWithTicketIsRepeatedAfterLostAnswer() {
    verdicts = List.of("lost", "ran");
    ticketsIssued = true;

    Caller.Result result = caller.send(order()).join();

    assertEquals(Outcome.ANSWERED, result.outcome());
  }

  @Test
  void refusalAfterLostAnswerIsReportedAsUnknown() {
    verdicts = List.of("lost", "not-run");
    ticketsIssued = true;

    Caller.Result result = caller.send(order()).join();

    assertEquals(Outcome.UNKNOWN, result.outcome());
  }

  private String address() {
    return "127.0.0.1:" + entry.getAddress().getPort();
  }

  private static PlannedRequest order() {
    return new PlannedRequest("id", 0, "c", "s", "r", "POST", "/", false, false, true);
  }

  private void answer(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    String body = "{}";
    if (exchange.getRequestURI().getPath().endsWith("/lookup")) {
      String ticket = ticketsIssued ? ",\"ticket\":\"t\"" : "";
      body = "{\"entries\":[\"%s\"],\"ttlSeconds\":10%s}".formatted(address(), ticket);
    } else {
      String verdict = verdicts.get(requestCount.getAndIncrement());
      if (verdict.equals("lost")) {
        exchange.close();
        return;
      }
      exchange.getResponseHeaders().set("Toucanrack-Verdict", verdict);
    }
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(200, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }
}
