package org.toucanrack.standin.link;

import java.util.ArrayList;
import java.util.List;

/**
 * One direction of a link: a delay and a capacity that all connections share, and whether it is
 * cut. Confined to the event loop; times are in milliseconds of its clock.
 */
final class LinkDirection {

  private static final double BITS_PER_BYTE = 8;
  private static final double MILLIS_PER_SECOND = 1000;

  private final List<Runnable> waiting = new ArrayList<>();
  private long delayMillis;
  private double bitsPerSecond;
  private double freeAtMillis;
  private boolean cut;
  private long bytes;

  LinkDirection(long delayMillis, double bitsPerSecond) {
    set(delayMillis, bitsPerSecond);
  }

  /** Sets delay and capacity; a capacity of 0 is unlimited. */
  void set(long newDelayMillis, double newBitsPerSecond) {
    delayMillis = newDelayMillis;
    bitsPerSecond = newBitsPerSecond;
  }

  /** Reserves capacity for bytes sent now; returns when they arrive at the other end. */
  long arrivalMillis(int length, long nowMillis) {
    bytes += length;
    double start = Math.max(nowMillis, freeAtMillis);
    double transfer =
        bitsPerSecond <= 0 ? 0 : length * BITS_PER_BYTE * MILLIS_PER_SECOND / bitsPerSecond;
    freeAtMillis = start + transfer;
    return Math.round(freeAtMillis) + delayMillis;
  }

  long bytes() {
    return bytes;
  }

  boolean isCut() {
    return cut;
  }

  void cut() {
    cut = true;
  }

  /** Runs the action once the direction is not cut. */
  void whenHealed(Runnable action) {
    waiting.add(action);
  }

  void heal() {
    cut = false;
    List<Runnable> actions = List.copyOf(waiting);
    waiting.clear();
    actions.forEach(Runnable::run);
  }
}
