package org.toucanrack.bench.capacity;

/** Measures one mechanism at several sizes. */
interface Slope {

  /** Adds the figures of all sizes. */
  void measure(Scale scale, Figures figures);
}
