package org.toucanrack.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/**
 * Sends HTTP/1.1 requests to a stand-in on a port of 127.0.0.1. Single quotes in request bodies are
 * replaced by double quotes, so that tests can write JSON without escapes.
 */
public final class TestHttp {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final int port;

  /** Creates a client for the port. */
  public TestHttp(int port) {
    this.port = port;
  }

  /** Sends a GET request. */
  public HttpResponse<String> get(String path) throws IOException, InterruptedException {
    return send(request(path));
  }

  /** Sends a POST request; {@code headers} alternates names and values. */
  public HttpResponse<String> post(String path, String body, String... headers)
      throws IOException, InterruptedException {
    HttpRequest.Builder request = request(path).POST(publisher(body));
    return send(headers.length == 0 ? request : request.headers(headers));
  }

  /** Sends a PUT request. */
  public HttpResponse<String> put(String path, String body)
      throws IOException, InterruptedException {
    return send(request(path).PUT(publisher(body)));
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path)).timeout(TIMEOUT);
  }

  private static HttpRequest.BodyPublisher publisher(String body) {
    return HttpRequest.BodyPublishers.ofString(body.replace('\'', '"'));
  }

  private HttpResponse<String> send(HttpRequest.Builder request)
      throws IOException, InterruptedException {
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }
}
