package org.toucanrack.internal.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Fetches {@code /status} from the operators' ports of VMs concurrently. Thread-safe. */
final class VmStatusClient {

  private static final long REQUEST_TIMEOUT_MILLIS = 2_000;

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(REQUEST_TIMEOUT_MILLIS))
          .build();

  /**
   * The status of one VM.
   *
   * @param address {@code IP:PORT} of its operators' port
   * @param status body of its response; a missing node if the request failed
   * @param problem why the request failed; empty if it succeeded
   */
  record VmStatus(String address, JsonNode status, String problem) {

    boolean answered() {
      return problem.isEmpty();
    }
  }

  List<VmStatus> fetchAll(List<String> addresses) {
    List<CompletableFuture<VmStatus>> calls = addresses.stream().map(this::fetch).toList();
    return calls.stream().map(CompletableFuture::join).toList();
  }

  private CompletableFuture<VmStatus> fetch(String address) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/status")).build();
    return client
        .sendAsync(request, BodyHandlers.ofString())
        .orTimeout(REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .handle((response, error) -> decode(address, response, error));
  }

  private static VmStatus decode(String address, HttpResponse<String> response, Throwable error) {
    if (error != null) {
      Throwable cause = error.getCause() == null ? error : error.getCause();
      return unavailable(address, cause.getClass().getSimpleName());
    }
    if (response.statusCode() != 200) {
      return unavailable(address, "status " + response.statusCode());
    }
    try {
      return new VmStatus(address, JsonRowStore.JSON.readTree(response.body()), "");
    } catch (IOException e) {
      return unavailable(address, "the answer is not JSON");
    }
  }

  private static VmStatus unavailable(String address, String problem) {
    return new VmStatus(address, JsonRowStore.JSON.missingNode(), problem);
  }
}
