package org.toucanrack.standin.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.toucanrack.standin.TestHttp;

/**
 * Tests the log of executed requests, on which scenarios rely to detect duplicate execution and
 * leaked API keys, and the handling of shedding, deadlines, cancellations and broken responses.
 */
class BackendProcessTest {

  private static final BackendSettings SETTINGS =
      new BackendSettings(
          1, 10, ServiceTime.parse("fixed:300"), BackendSettings.ColdStart.NONE, 0, 0);

  private final BackendProcess backend =
      new BackendProcess(List.of(new InetSocketAddress("127.0.0.1", 0)), SETTINGS, 1);
  private final TestHttp http = new TestHttp(backend.ports().get(0));

  BackendProcessTest() throws IOException {}

  @AfterEach
  void stop() {
    backend.close();
  }

  @Test
  void secondRunOfTheSameCallerRequestIsReportedAsDuplicate() throws Exception {
    http.post("/orders/place", "", "X-Caller-Request-Id", "one");
    http.post("/orders/place", "", "X-Caller-Request-Id", "one");

    String ran = http.get("/ran").body();

    assertTrue(ran.contains("\"duplicates\":{\"one\":2}"), ran);
  }

  @Test
  void requestBeyondTheSlotsIsShedWithoutRunning() throws Exception {
    CompletableFuture<HttpResponse<String>> first = postInBackground("/orders/a");
    while (http.get("/load").body().startsWith("0")) {
      Thread.onSpinWait();
    }

    HttpResponse<String> second = http.post("/orders/b", "");

    assertEquals(200, first.join().statusCode());
    assertEquals(503, second.statusCode());
    assertEquals("not-run", second.headers().firstValue("Toucanrack-Shed").orElse(""));
    assertTrue(http.get("/ran").body().contains("\"ran\":1,\"shed\":1"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"RESET", "TRUNCATE"})
  void requestWithBrokenResponseIsRecordedAsRun(String kind) throws Exception {
    http.post("/control", "{'faults':[{'kind':'" + kind + "','pathPrefix':'/orders'}]}");

    assertThrows(IOException.class, () -> http.post("/orders/place", "x"));

    assertTrue(http.get("/ran").body().contains("\"ran\":1,"));
  }

  @Test
  void requestIsAbandonedAtItsDeadline() throws Exception {
    int code = http.post("/orders/place", "", "Toucanrack-Deadline-Ms", "20").statusCode();

    assertEquals(504, code);
  }

  @Test
  void cancellationReceivedBeforeItsRequestPreventsTheRun() throws Exception {
    http.post("/cancel/r1", "");

    int code = http.post("/orders/place", "", "Toucanrack-Request-Id", "r1").statusCode();

    assertEquals(503, code);
    assertTrue(http.get("/ran").body().contains("\"ran\":0,"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"/orders?x=key-1", "/orders?x=%20key-1"})
  void apiKeyInQueryIsDetected(String path) throws Exception {
    http.post(path, "");

    assertTrue(http.get("/ran").body().contains("\"keySeen\":true"));
  }

  @Test
  void idempotencyKeyIsNotDetectedAsApiKey() throws Exception {
    http.post("/orders", "", "Idempotency-Key", "order-key-1");

    assertTrue(http.get("/ran").body().contains("\"keySeen\":false"));
  }

  private CompletableFuture<HttpResponse<String>> postInBackground(String path) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return http.post(path, "");
          } catch (IOException | InterruptedException e) {
            throw new CompletionException(e);
          }
        });
  }
}
