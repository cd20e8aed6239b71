package org.toucanrack.internal.coordination.move;

/**
 * Permits shifts by count: each arrival adds a fraction of a permission, and no more is added while
 * one is saved.
 *
 * <p>Invariant: in any interval, shifts are at most the sum of the fractions of its arrivals, plus
 * less than two. Guarded by the gate.
 */
final class PacedShifts {

  private double saved;

  void arrived(double fraction) {
    saved += saved < 1 ? fraction : 0;
  }

  boolean tryShift() {
    if (saved < 1) {
      return false;
    }
    saved -= 1;
    return true;
  }
}
