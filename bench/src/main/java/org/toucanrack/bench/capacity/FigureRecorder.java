package org.toucanrack.bench.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;

/** Measures and collects the figures of a run. Not thread-safe. */
final class FigureRecorder {

  private static final double NANOS_PER_MICRO = 1000;

  private final List<Figure> figures = new ArrayList<>();
  private final CostMeter costMeter;

  FigureRecorder(Scale scale) {
    this.costMeter = new CostMeter(scale);
  }

  /** One mechanism at one size; records figures for it. */
  final class Point {

    private final String mechanism;
    private final String axis;
    private final long size;

    private Point(String mechanism, String axis, long size) {
      this.mechanism = mechanism;
      this.axis = axis;
      this.size = size;
    }

    /** Measures CPU time and allocated bytes of one operation. */
    void measureCpu(String quantity, Runnable operation) {
      CostMeter.Cost cost = costMeter.measure(operation);
      add(quantity, "us CPU", cost.cpuNanos() / NANOS_PER_MICRO, cost.spreadPercent());
      add(quantity, "B allocated", cost.allocatedBytes(), 0);
    }

    /** Measures the heap that an object retains: the median and spread of three instances. */
    void measureRetainedHeap(String quantity, Supplier<?> build) {
      long[] bytes = new long[3];
      for (int i = 0; i < bytes.length; i++) {
        bytes[i] = CostMeter.retainedBytes(build);
      }
      Arrays.sort(bytes);
      double spreadPercent = 100.0 * (bytes[2] - bytes[0]) / Math.max(1, Math.abs(bytes[1]));
      add(quantity, "B retained", bytes[1], spreadPercent);
    }

    /** Records a value that does not vary between runs. */
    void addExact(String quantity, String unit, double value) {
      add(quantity, unit, value, 0);
    }

    private void add(String quantity, String unit, double value, double spreadPercent) {
      figures.add(new Figure(mechanism, quantity, unit, axis, size, value, spreadPercent));
    }
  }

  Point pointAt(String mechanism, String axis, long size) {
    return new Point(mechanism, axis, size);
  }

  List<Figure> all() {
    return List.copyOf(figures);
  }
}
