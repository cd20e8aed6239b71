package org.toucanrack.internal.transport.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A backend server on a plain socket, so that tests control every byte and its timing. */
final class RawBackend implements AutoCloseable {

  /** Answers one request on an open connection. */
  interface Script {
    void answer(String request, Socket connection, int connectionNumber) throws Exception;
  }

  private final ServerSocket server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<String> requests = new CopyOnWriteArrayList<>();
  private final AtomicInteger connections = new AtomicInteger();
  private final Script script;

  RawBackend(Script script) throws IOException {
    this.script = script;
    server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    threads.submit(this::accept);
  }

  static Script ok(String body) {
    return (request, connection, number) -> write(connection, okResponse(body));
  }

  static String okResponse(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  static void write(Socket connection, String response) throws IOException {
    connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
    connection.getOutputStream().flush();
  }

  int port() {
    return server.getLocalPort();
  }

  List<String> requests() {
    return requests;
  }

  int connections() {
    return connections.get();
  }

  private Void accept() throws IOException {
    while (true) {
      Socket connection = server.accept();
      int number = connections.incrementAndGet();
      threads.submit(() -> serve(connection, number));
    }
  }

  private Void serve(Socket connection, int number) throws Exception {
    try (connection) {
      for (String request = read(connection); request != null; request = read(connection)) {
        requests.add(request);
        script.answer(request, connection, number);
      }
    }
    return null;
  }

  private static String read(Socket connection) throws IOException {
    InputStream in = connection.getInputStream();
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        return null;
      }
      bytes.write(next);
    }
    bytes.write(in.readNBytes(contentLength(bytes.toString(StandardCharsets.ISO_8859_1))));
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  private static int contentLength(String head) {
    return head.lines()
        .filter(line -> line.toLowerCase().startsWith("content-length:"))
        .mapToInt(line -> Integer.parseInt(line.substring(15).trim()))
        .findFirst()
        .orElse(0);
  }

  @Override
  public void close() throws IOException {
    server.close();
    threads.shutdownNow();
  }
}
