package org.toucanrack.standin.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/**
 * A value whose changes become visible to readers in order, each after a fixed lag. While the value
 * is frozen, no further change becomes visible. Thread-safe.
 *
 * @param <T> an immutable value
 */
final class LaggedValue<T> {

  private record Change<T>(long visibleAtNanos, T value) {}

  private final LongSupplier nanoTime;
  private final long lagNanos;
  private final Deque<Change<T>> pending = new ArrayDeque<>();
  private T visible;
  private T latest;
  private boolean frozen;

  LaggedValue(T initial, long lagNanos, LongSupplier nanoTime) {
    this.visible = initial;
    this.latest = initial;
    this.lagNanos = lagNanos;
    this.nanoTime = nanoTime;
  }

  synchronized T latest() {
    return latest;
  }

  synchronized void set(T value) {
    latest = value;
    pending.add(new Change<>(nanoTime.getAsLong() + lagNanos, value));
  }

  synchronized void setFrozen(boolean newFrozen) {
    frozen = newFrozen;
  }

  synchronized T visible() {
    long nowNanos = nanoTime.getAsLong();
    while (!frozen && !pending.isEmpty() && pending.peek().visibleAtNanos() - nowNanos <= 0) {
      visible = pending.poll().value();
    }
    return visible;
  }
}
