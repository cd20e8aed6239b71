package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes HTTP/1.1 messages with a stated length, on blocking streams. */
final class Http {

  private Http() {}

  /** A message: its start line, its header lines and its body. */
  record Message(String startLine, List<String> headers, byte[] body) {

    String header(String name) {
      for (String header : headers) {
        int colon = header.indexOf(':');
        if (header.substring(0, colon).equalsIgnoreCase(name)) {
          return header.substring(colon + 1).strip();
        }
      }
      return null;
    }

    String method() {
      return startLine.split(" ")[0];
    }

    String target() {
      return startLine.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Returns the next message, or null if the peer has closed the connection before it. */
  static Message read(InputStream in) throws IOException {
    String startLine = line(in);
    if (startLine == null) {
      return null;
    }
    List<String> headers = new ArrayList<>();
    long length = 0;
    while (true) {
      String line = line(in);
      if (line == null) {
        throw new EOFException("the connection ended within a head");
      }
      if (line.isEmpty()) {
        break;
      }
      headers.add(line);
      if (line.toLowerCase().startsWith("content-length:")) {
        length = Long.parseLong(line.substring("content-length:".length()).strip());
      }
    }
    byte[] body = in.readNBytes((int) length);
    if (body.length < length) {
      throw new EOFException("the connection ended within a body");
    }
    return new Message(startLine, headers, body);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
    while (true) {
      int c = in.read();
      if (c < 0) {
        return null;
      }
      if (c == '\n') {
        String line = bytes.toString(StandardCharsets.ISO_8859_1);
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
      }
      bytes.write(c);
    }
  }

  /** Writes a message; adds its length. */
  static void write(OutputStream out, String startLine, List<String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder(startLine).append("\r\n");
    headers.forEach(header -> head.append(header).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] bytes = new byte[headBytes.length + body.length];
    System.arraycopy(headBytes, 0, bytes, 0, headBytes.length);
    System.arraycopy(body, 0, bytes, headBytes.length, body.length);
    out.write(bytes);
    out.flush();
  }
}
