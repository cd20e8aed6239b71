package org.toucanrack.internal.transport.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Relays TCP connections until they are frozen; a frozen connection stays open but forwards no
 * bytes.
 */
final class FreezingRelay implements AutoCloseable {

  private final ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final List<AtomicBoolean> frozenFlags = new CopyOnWriteArrayList<>();
  private final int targetPort;

  FreezingRelay(int targetPort) throws IOException {
    this.targetPort = targetPort;
    start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  void freezeOpenConnections() {
    frozenFlags.forEach(flag -> flag.set(true));
  }

  private void accept() throws IOException {
    while (true) {
      Socket from = listener.accept();
      Socket to = new Socket(InetAddress.getLoopbackAddress(), targetPort);
      AtomicBoolean isFrozen = new AtomicBoolean();
      sockets.addAll(List.of(from, to));
      frozenFlags.add(isFrozen);
      start(() -> copy(from.getInputStream(), to.getOutputStream(), isFrozen));
      start(() -> copy(to.getInputStream(), from.getOutputStream(), isFrozen));
    }
  }

  private static void copy(InputStream from, OutputStream to, AtomicBoolean isFrozen)
      throws IOException {
    byte[] buffer = new byte[4096];
    for (int read = from.read(buffer); read >= 0; read = from.read(buffer)) {
      if (!isFrozen.get()) {
        to.write(buffer, 0, read);
      }
    }
  }

  private static void start(IoTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                Thread.currentThread().interrupt();
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private interface IoTask {
    void run() throws IOException;
  }
}
