package org.toucanrack.bench.load;

import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsResourceRecord;
import io.activej.dns.protocol.DnsResponse;
import io.activej.dns.protocol.DnsTransaction;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** An HTTP client with its own event loop thread. Thread-safe. */
public final class LoadClient implements AutoCloseable {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(6);
  // Shorter than the servers' keep-alive, so that requests don't race with closing connections.
  private static final Duration KEEP_ALIVE = Duration.ofSeconds(2);
  private static final int MAX_BODY_BYTES = 16 << 20;

  private final Eventloop eventloop = Eventloop.builder().withThreadName("load").build();
  private final HttpClient client;

  /** Creates a client and starts its event loop. */
  public LoadClient() {
    client =
        HttpClient.builder(eventloop, new IpLiteralResolver())
            .withConnectTimeout(CONNECT_TIMEOUT)
            .withReadWriteTimeout(ANSWER_TIMEOUT)
            .withKeepAliveTimeout(KEEP_ALIVE)
            .withMaxBodySize(MAX_BODY_BYTES)
            .build();
    eventloop.keepAlive(true);
    Thread thread = new Thread(eventloop, "load");
    thread.setDaemon(true);
    thread.start();
  }

  /** Sends one request. The future never completes exceptionally. */
  public CompletableFuture<Answer> send(
      String method, String address, String target, Map<String, String> headers) {
    CompletableFuture<Answer> result = new CompletableFuture<>();
    eventloop.execute(() -> sendRequest(result, method, address, target, headers));
    return result;
  }

  /** Posts a JSON body. The future never completes exceptionally. */
  public CompletableFuture<Answer> post(String address, String target, String body) {
    CompletableFuture<Answer> result = new CompletableFuture<>();
    HttpRequest request =
        HttpRequest.post("http://" + address + target)
            .withBody(body.getBytes(StandardCharsets.UTF_8))
            .build();
    eventloop.execute(() -> exchange(result, request));
    return result;
  }

  private void sendRequest(
      CompletableFuture<Answer> result,
      String method,
      String address,
      String target,
      Map<String, String> headers) {
    HttpRequest.Builder builder =
        HttpRequest.builder(HttpMethod.valueOf(method), "http://" + address + target);
    headers.forEach((name, value) -> builder.withHeader(HttpHeaders.of(name), value));
    if (!method.equals("GET")) {
      builder.withBody("{}".getBytes(StandardCharsets.UTF_8));
    }
    exchange(result, builder.build());
  }

  private void exchange(CompletableFuture<Answer> result, HttpRequest request) {
    client
        .request(request)
        .then(response -> response.loadBody(MAX_BODY_BYTES).map(body -> toAnswer(response)))
        .subscribe(
            (answer, failure) ->
                result.complete(failure == null ? answer : answerOfFailure(failure)));
  }

  private static Answer toAnswer(HttpResponse response) {
    String verdict = response.getHeader(HttpHeaders.of("Toucanrack-Verdict"));
    if (verdict == null) {
      boolean shed = "not-run".equals(response.getHeader(HttpHeaders.of("Toucanrack-Shed")));
      verdict = shed ? Answer.NOT_RUN : Answer.RAN;
    }
    String body = new String(response.getBody().getArray(), StandardCharsets.UTF_8);
    return new Answer(response.getCode(), verdict, body);
  }

  private static Answer answerOfFailure(Exception failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException) {
        return new Answer(0, Answer.NOT_RUN, "connection refused");
      }
    }
    return new Answer(0, Answer.MAY_HAVE_RUN, String.valueOf(failure));
  }

  @Override
  public void close() {
    eventloop.execute(
        () -> {
          client.stop();
          eventloop.keepAlive(false);
        });
  }

  /** Resolves IP literals without DNS. */
  private static final class IpLiteralResolver implements IDnsClient {

    private static final int TTL_SECONDS = 3600;

    @Override
    public Promise<DnsResponse> resolve(DnsQuery query) {
      try {
        InetAddress[] addresses = {InetAddress.getByName(query.getDomainName())};
        return Promise.of(
            DnsResponse.of(
                DnsTransaction.of((short) 0, query), DnsResourceRecord.of(addresses, TTL_SECONDS)));
      } catch (UnknownHostException e) {
        return Promise.ofException(e);
      }
    }

    @Override
    public void close() {}
  }
}
