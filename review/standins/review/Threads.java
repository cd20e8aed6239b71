package review;

import java.io.IOException;
import java.net.Socket;

/** Daemon threads for blocking I/O. */
final class Threads {

  private Threads() {}

  /** Work that may fail when its connection ends. */
  interface Work {
    void run() throws IOException, InterruptedException;
  }

  static void start(String name, Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException | InterruptedException e) {
                // The connection or the run has ended.
                return;
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
  }

  /** Closes a connection with a reset. */
  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
