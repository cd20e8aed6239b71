package org.toucanrack.internal.transport.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.toucanrack.platform.StoreAnswer;
import org.toucanrack.platform.StoreAnswer.Done;
import org.toucanrack.platform.StoreAnswer.Refused;
import org.toucanrack.platform.StoreAnswer.Unknown;

/**
 * Sends calls to the platform's addresses in order until one of them answers. Thread-safe.
 *
 * <p>Invariant: the returned stages never complete exceptionally.
 */
final class PlatformCalls implements AutoCloseable {

  static final ObjectMapper JSON = new ObjectMapper();

  private static final System.Logger LOGGER = System.getLogger(PlatformCalls.class.getName());
  private static final int CLIENT_THREADS = 2;
  private static final int CONFLICT = 409;
  private static final int PRECONDITION_FAILED = 412;

  private final List<URI> addresses;
  private final Duration callTimeout;
  private final ExecutorService executor;
  private final HttpClient client;

  PlatformCalls(List<URI> addresses, Duration callTimeout) {
    if (addresses.isEmpty()) {
      throw new IllegalArgumentException("the platform needs at least one address");
    }
    this.addresses = List.copyOf(addresses);
    this.callTimeout = callTimeout;
    this.executor = Executors.newFixedThreadPool(CLIENT_THREADS, PlatformCalls::daemonThread);
    this.client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(callTimeout)
            .executor(executor)
            .build();
  }

  /** Decodes a response into the result of the call; an exception makes the answer unknown. */
  interface Decoder<T> {
    T decode(int status, byte[] body) throws IOException;
  }

  <T> CompletionStage<StoreAnswer<T>> get(String path, Decoder<T> decoder) {
    return attemptFrom(0, false, false, new Call<>("GET", path, null, decoder));
  }

  <T> CompletionStage<StoreAnswer<T>> put(String path, byte[] body, Decoder<T> decoder) {
    return attemptFrom(0, false, false, new Call<>("PUT", path, body, decoder));
  }

  <T> CompletionStage<StoreAnswer<T>> post(String path, JsonNode body, Decoder<T> decoder) {
    byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
    return attemptFrom(0, false, false, new Call<>("POST", path, bytes, decoder));
  }

  /** Throws unless the status is 200. */
  static void requireOk(int status, byte[] body) throws IOException {
    if (status != 200) {
      throw new IOException("the platform answered with status " + status);
    }
  }

  /** Returns the JSON object in the body; throws unless the status is 200. */
  static JsonNode parseObject(int status, byte[] body) throws IOException {
    requireOk(status, body);
    JsonNode node = JSON.readTree(body);
    if (node == null || !node.isObject()) {
      throw new IOException("the platform answered without a JSON object");
    }
    return node;
  }

  /** Returns a field; throws if it is missing. */
  static JsonNode requiredField(JsonNode node, String field) throws IOException {
    JsonNode value = node.get(field);
    if (value == null) {
      throw new IOException("the platform's answer has no field '" + field + "'");
    }
    return value;
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  private record Call<T>(String method, String path, byte[] body, Decoder<T> decoder) {}

  /**
   * Outcome of one attempt at one address.
   *
   * @param answer answer to return if no further attempt is made
   * @param mayHaveArrived whether the platform may have received the call
   * @param connectionLost whether the connection was lost before an answer
   */
  private record Attempt<T>(
      StoreAnswer<T> answer, boolean mayHaveArrived, boolean connectionLost) {}

  /**
   * Tries the addresses from {@code addressIndex} on. A call is retried once at the same address
   * after a lost connection, since the platform may close a pooled connection just when it is
   * reused. Retries are safe: reads have no side effects, puts are idempotent and commits carry an
   * operation id.
   */
  private <T> CompletionStage<StoreAnswer<T>> attemptFrom(
      int addressIndex, boolean retried, boolean earlierMayHaveArrived, Call<T> call) {
    URI address = addresses.get(addressIndex);
    return send(address, call)
        .handle((response, failure) -> toAttempt(address, call, response, failure))
        .thenCompose(
            attempt -> {
              boolean mayHaveArrived = earlierMayHaveArrived || attempt.mayHaveArrived();
              boolean isUnknown = attempt.answer() instanceof Unknown<T>;
              if (isUnknown && attempt.connectionLost() && !retried) {
                return attemptFrom(addressIndex, true, mayHaveArrived, call);
              }
              if (isUnknown && addressIndex + 1 < addresses.size()) {
                return attemptFrom(addressIndex + 1, false, mayHaveArrived, call);
              }
              return CompletableFuture.completedFuture(
                  withoutUncertainRefusal(attempt.answer(), earlierMayHaveArrived));
            });
  }

  /**
   * Turns a refusal after an uncertain attempt into an unknown answer: the earlier attempt may have
   * taken effect and may itself be the reason for the refusal.
   */
  private static <T> StoreAnswer<T> withoutUncertainRefusal(
      StoreAnswer<T> answer, boolean earlierMayHaveArrived) {
    if (earlierMayHaveArrived && answer instanceof Refused<T> refused) {
      return new Unknown<>("an earlier attempt had no answer, then: " + refused.reason());
    }
    return answer;
  }

  private <T> Attempt<T> toAttempt(
      URI address, Call<T> call, HttpResponse<byte[]> response, Throwable failure) {
    if (failure != null) {
      Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
      boolean connected =
          !(cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException);
      boolean connectionLost =
          connected && cause instanceof IOException && !(cause instanceof HttpTimeoutException);
      return new Attempt<>(unknown(address, call, cause), connected, connectionLost);
    }
    return new Attempt<>(toAnswer(address, call, response), true, false);
  }

  private <T> StoreAnswer<T> toAnswer(URI address, Call<T> call, HttpResponse<byte[]> response) {
    try {
      int status = response.statusCode();
      if (status == CONFLICT || status == PRECONDITION_FAILED) {
        return new Refused<>(reason(response.body()));
      }
      return new Done<>(call.decoder().decode(status, response.body()));
    } catch (IOException | RuntimeException e) {
      return unknown(address, call, e);
    }
  }

  private static <T> StoreAnswer<T> unknown(URI address, Call<T> call, Throwable cause) {
    String text = cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.toString();
    String reason = "no usable answer from %s to %s".formatted(address, call.method());
    reason = reason + " " + call.path() + ": " + text;
    LOGGER.log(System.Logger.Level.DEBUG, "[platform] {0}", reason);
    return new Unknown<>(reason);
  }

  private static String reason(byte[] body) {
    try {
      JsonNode node = JSON.readTree(body);
      return node == null ? "refused" : node.path("reason").asText("refused");
    } catch (IOException e) {
      return "refused";
    }
  }

  private <T> CompletableFuture<HttpResponse<byte[]>> send(URI address, Call<T> call) {
    try {
      CompletableFuture<HttpResponse<byte[]>> sent =
          client.sendAsync(request(address, call), BodyHandlers.ofByteArray());
      // The timeout of HttpRequest covers only the response headers; this one includes the body.
      return sent.copy()
          .orTimeout(callTimeout.toMillis(), TimeUnit.MILLISECONDS)
          .whenComplete((response, failure) -> sent.cancel(true));
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private <T> HttpRequest request(URI address, Call<T> call) {
    HttpRequest.Builder builder = HttpRequest.newBuilder(resolve(address, call.path()));
    if (call.body() == null) {
      return builder.method(call.method(), BodyPublishers.noBody()).build();
    }
    return builder
        .header("Content-Type", "application/json")
        .method(call.method(), BodyPublishers.ofByteArray(call.body()))
        .build();
  }

  private static URI resolve(URI address, String path) {
    String base = address.toString();
    return URI.create(
        base.endsWith("/") ? base.substring(0, base.length() - 1) + path : base + path);
  }

  private static Thread daemonThread(Runnable task) {
    Thread thread = new Thread(task, "platform-client");
    thread.setDaemon(true);
    return thread;
  }
}
