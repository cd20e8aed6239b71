package org.toucanrack.scenarios.fleet;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

/** An HTTP client that records the response to each of its requests. Thread-safe. */
public final class Caller {

  /** The response to one request; status 0 and verdict "none" if there was no response. */
  public record RecordedResponse(
      String id, String address, int status, String verdict, String body, long completedNanos) {

    /** Returns whether the entry VM reported that the request was not run. */
    public boolean isNotRun() {
      return verdict.equals("not-run");
    }

    /** Returns whether the request ran and was answered with 200. */
    public boolean isServed() {
      return status == 200 && verdict.equals("ran");
    }
  }

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private final List<RecordedResponse> responses = new CopyOnWriteArrayList<>();

  /**
   * Sends a request without waiting. The future also completes normally if the request fails or
   * times out.
   */
  public CompletableFuture<RecordedResponse> send(
      String address, String method, String path, Optional<String> key, Optional<String> ticket) {
    String id = UUID.randomUUID().toString();
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofSeconds(8))
            .header("X-Caller-Request-Id", id)
            .method(method, HttpRequest.BodyPublishers.ofString(method.equals("POST") ? id : ""));
    key.ifPresent(secret -> request.header("Authorization", "Bearer " + secret));
    ticket.ifPresent(value -> request.header("Toucanrack-Ticket", value));
    return client
        .sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
        .handle((response, failure) -> toRecordedResponse(id, address, response))
        .whenComplete((response, failure) -> responses.add(response));
  }

  /** Returns all responses received so far. */
  public List<RecordedResponse> responses() {
    return List.copyOf(responses);
  }

  private static RecordedResponse toRecordedResponse(
      String id, String address, HttpResponse<String> response) {
    if (response == null) {
      return new RecordedResponse(id, address, 0, "none", "", System.nanoTime());
    }
    String verdict = response.headers().firstValue("Toucanrack-Verdict").orElse("none");
    return new RecordedResponse(
        id, address, response.statusCode(), verdict, response.body(), System.nanoTime());
  }
}
