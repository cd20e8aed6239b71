package org.toucanrack.internal.coordination.move;

/**
 * Permits shifts by count: each arrival adds a fraction of a permit, and nothing is added while a
 * whole permit is available.
 *
 * <p>Invariant: in any interval, shifts are at most the sum of the fractions of its arrivals, plus
 * less than two. Not thread-safe; guarded by the lock of the gate.
 */
final class ShiftPermits {

  private double available;

  void recordArrival(double fraction) {
    available += available < 1 ? fraction : 0;
  }

  boolean tryShift() {
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}
