package org.toucanrack.internal.command;

import java.util.concurrent.TimeUnit;

/**
 * Sleeps between attempts; an interrupt ends the sleep early and stays set. Stateless and
 * thread-safe.
 */
final class Pause {

  private Pause() {}

  static void millis(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
