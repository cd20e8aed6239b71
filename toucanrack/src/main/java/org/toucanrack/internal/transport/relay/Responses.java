package org.toucanrack.internal.transport.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.toucanrack.internal.protocol.message.HttpField;
import org.toucanrack.internal.protocol.message.HttpMessage;

/** Builds the responses that this process generates itself. Stateless and thread-safe. */
public final class Responses {

  private static final HttpField TEXT = new HttpField("Content-Type", "text/plain");

  private Responses() {}

  /** Returns a plain-text response of one line. */
  public static HttpMessage text(int status, String text) {
    return withBody(status, TEXT, (text + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a response with a body of the given content type. */
  public static HttpMessage withBody(int status, HttpField contentType, byte[] body) {
    return HttpMessage.of(statusLine(status), List.of(contentType), body);
  }

  /** Returns the HTTP/1.1 status line of a status code. */
  public static String statusLine(int status) {
    return "HTTP/1.1 " + status + " " + reasonPhrase(status);
  }

  private static String reasonPhrase(int status) {
    return switch (status) {
      case 200 -> "OK";
      case 400 -> "Bad Request";
      case 401 -> "Unauthorized";
      case 404 -> "Not Found";
      case 408 -> "Request Timeout";
      case 413 -> "Content Too Large";
      case 429 -> "Too Many Requests";
      case 431 -> "Request Header Fields Too Large";
      case 502 -> "Bad Gateway";
      case 503 -> "Service Unavailable";
      case 504 -> "Gateway Timeout";
      default -> "Error";
    };
  }
}
