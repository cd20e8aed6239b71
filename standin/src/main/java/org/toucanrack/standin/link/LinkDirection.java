package org.toucanrack.standin.link;

import java.util.ArrayList;
import java.util.List;

/**
 * One direction of a link, with a delay and a capacity that all connections share, which can be cut
 * and healed. Confined to the event loop; times are milliseconds of its clock.
 */
final class LinkDirection {

  private static final double BITS_PER_BYTE = 8;
  private static final double MILLIS_PER_SECOND = 1000;

  private final List<Runnable> healActions = new ArrayList<>();
  private long delayMillis;
  private double bitsPerSecond;
  private double freeAtMillis;
  private boolean cut;
  private long totalBytes;

  LinkDirection(long delayMillis, double bitsPerSecond) {
    set(delayMillis, bitsPerSecond);
  }

  /** Sets delay and capacity; a capacity of 0 means unlimited. */
  void set(long newDelayMillis, double newBitsPerSecond) {
    delayMillis = newDelayMillis;
    bitsPerSecond = newBitsPerSecond;
  }

  /** Reserves capacity for bytes sent now and returns their arrival time at the other end. */
  long reserveTransfer(int lengthBytes, long nowMillis) {
    totalBytes += lengthBytes;
    double startMillis = Math.max(nowMillis, freeAtMillis);
    double transferMillis =
        bitsPerSecond <= 0 ? 0 : lengthBytes * BITS_PER_BYTE * MILLIS_PER_SECOND / bitsPerSecond;
    freeAtMillis = startMillis + transferMillis;
    return Math.round(freeAtMillis) + delayMillis;
  }

  long totalBytes() {
    return totalBytes;
  }

  boolean isCut() {
    return cut;
  }

  void cut() {
    cut = true;
  }

  /** Registers an action that runs once, when the direction heals. */
  void whenHealed(Runnable action) {
    healActions.add(action);
  }

  void heal() {
    cut = false;
    List<Runnable> actions = List.copyOf(healActions);
    healActions.clear();
    actions.forEach(Runnable::run);
  }
}
