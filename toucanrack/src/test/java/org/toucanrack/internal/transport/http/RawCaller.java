package org.toucanrack.internal.transport.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller on a plain socket, for requests that no HTTP client would send. */
final class RawCaller implements AutoCloseable {

  private static final int READ_TIMEOUT_MILLIS = 5000;

  private final Socket socket = new Socket();

  RawCaller(InetSocketAddress address) throws IOException {
    socket.connect(address);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
  }

  RawCaller send(String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
    return this;
  }

  /** Reads one response with a Content-Length. */
  String response() throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        return head.toString();
      }
      head.append((char) next);
    }
    int length =
        head.toString()
            .lines()
            .filter(line -> line.toLowerCase().startsWith("content-length:"))
            .mapToInt(line -> Integer.parseInt(line.substring(15).trim()))
            .findFirst()
            .orElse(0);
    return head
        + new String(socket.getInputStream().readNBytes(length), StandardCharsets.ISO_8859_1);
  }

  /** Returns whether the other side has closed the connection. */
  boolean closedByServer() throws IOException {
    try {
      return socket.getInputStream().read() < 0;
    } catch (java.net.SocketTimeoutException e) {
      return false;
    } catch (java.net.SocketException e) {
      return true;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
