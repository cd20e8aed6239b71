package org.toucanrack.bench.capacity;

/** Measures the cost of one mechanism at several sizes. */
interface ScalingBenchmark {

  /** Measures all sizes and adds the results to the recorder. */
  void measure(Scale scale, FigureRecorder figures);
}
