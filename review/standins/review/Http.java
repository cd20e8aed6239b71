package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Minimal HTTP/1.1 messages with Content-Length framing, for the stand-ins. */
final class Http {

  private Http() {}

  /** A message whose header names are in lower case. */
  record Message(String startLine, Map<String, String> headers, byte[] body) {

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    String method() {
      return startLine.split(" ")[0];
    }

    String target() {
      return startLine.split(" ")[1];
    }
  }

  /** Reads one message; returns null if the connection ends before its first byte. */
  static Message read(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int matched = 0;
    while (matched < 4) {
      int next = in.read();
      if (next < 0) {
        if (head.size() == 0) {
          return null;
        }
        throw new EOFException("the connection ended inside a header");
      }
      head.write(next);
      boolean expected = next == (matched % 2 == 0 ? '\r' : '\n');
      matched = expected ? matched + 1 : next == '\r' ? 1 : 0;
    }
    String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
    Map<String, String> headers = new LinkedHashMap<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      headers.put(
          lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
          lines[i].substring(colon + 1).strip());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("the connection ended inside a body");
    }
    return new Message(lines[0], headers, body);
  }

  /** Writes a message with its Content-Length. */
  static void write(OutputStream out, String startLine, String headers, byte[] body)
      throws IOException {
    String head = startLine + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
    byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] bytes = new byte[headBytes.length + body.length];
    System.arraycopy(headBytes, 0, bytes, 0, headBytes.length);
    System.arraycopy(body, 0, bytes, headBytes.length, body.length);
    out.write(bytes);
    out.flush();
  }
}
