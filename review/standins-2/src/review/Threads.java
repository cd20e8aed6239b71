package review;

/** Starts daemon threads. */
final class Threads {

  private Threads() {}

  static Thread start(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
