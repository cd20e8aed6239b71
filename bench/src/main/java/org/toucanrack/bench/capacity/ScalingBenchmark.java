package org.toucanrack.bench.capacity;

/** Measures one mechanism at several sizes. */
interface ScalingBenchmark {

  /** Adds the figures of all sizes. */
  void measure(Scale scale, FigureRecorder figures);
}
