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

/** Passes TCP connections on until they are frozen: open, but without any byte passed on. */
final class FreezingRelay implements AutoCloseable {

  private final ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final List<AtomicBoolean> frozen = new CopyOnWriteArrayList<>();
  private final int target;

  FreezingRelay(int target) throws IOException {
    this.target = target;
    start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  void freezeOpenConnections() {
    frozen.forEach(flag -> flag.set(true));
  }

  private void accept() throws IOException {
    while (true) {
      Socket from = listener.accept();
      Socket to = new Socket(InetAddress.getLoopbackAddress(), target);
      AtomicBoolean stopped = new AtomicBoolean();
      sockets.addAll(List.of(from, to));
      frozen.add(stopped);
      start(() -> copy(from.getInputStream(), to.getOutputStream(), stopped));
      start(() -> copy(to.getInputStream(), from.getOutputStream(), stopped));
    }
  }

  private static void copy(InputStream from, OutputStream to, AtomicBoolean stopped)
      throws IOException {
    byte[] buffer = new byte[4096];
    for (int read = from.read(buffer); read >= 0; read = from.read(buffer)) {
      if (!stopped.get()) {
        to.write(buffer, 0, read);
      }
    }
  }

  private static void start(Copying task) {
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

  private interface Copying {
    void run() throws IOException;
  }
}
