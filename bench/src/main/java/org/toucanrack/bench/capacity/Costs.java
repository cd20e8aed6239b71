package org.toucanrack.bench.capacity;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.function.Supplier;

/**
 * Measures CPU time and allocation of the calling thread, and retained heap. CPU time excludes
 * garbage collection and compilation, which run on other threads. Used by one thread.
 */
final class Costs {

  private static final int REPEATS = 5;
  private static final int COLLECTIONS = 2;
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private final Scale scale;

  Costs(Scale scale) {
    this.scale = scale;
  }

  /**
   * The cost of one operation. Immutable and thread-safe.
   *
   * @param cpuNanos median over the repeats
   * @param spreadPercent largest less smallest repeat, relative to the median
   * @param allocatedBytes mean over all repeats
   */
  record Cost(double cpuNanos, double spreadPercent, double allocatedBytes) {}

  Cost of(Runnable operation) {
    long operations = warmUp(operation);
    double[] nanos = new double[REPEATS];
    long allocatedBefore = THREADS.getCurrentThreadAllocatedBytes();
    for (int i = 0; i < REPEATS; i++) {
      nanos[i] = (double) run(operation, operations) / operations;
    }
    long allocated = THREADS.getCurrentThreadAllocatedBytes() - allocatedBefore;
    Arrays.sort(nanos);
    double median = nanos[REPEATS / 2];
    double spread = median == 0 ? 0 : 100 * (nanos[REPEATS - 1] - nanos[0]) / median;
    return new Cost(median, spread, (double) allocated / (REPEATS * operations));
  }

  /** Runs until the code is compiled; returns the operations that fill one repeat. */
  private long warmUp(Runnable operation) {
    long operations = 1;
    long spent = run(operation, operations);
    long total = spent;
    while (total < scale.warmUpNanos()) {
      operations = spent < scale.repeatNanos() ? operations * 2 : operations;
      spent = run(operation, operations);
      total += spent;
    }
    double perOperation = Math.max(1, (double) spent / operations);
    return Math.max(1, (long) (scale.repeatNanos() / perOperation));
  }

  private static long run(Runnable operation, long operations) {
    long before = THREADS.getCurrentThreadCpuTime();
    for (long i = 0; i < operations; i++) {
      operation.run();
    }
    return THREADS.getCurrentThreadCpuTime() - before;
  }

  /** Returns the heap that the built object keeps after garbage collection. */
  static long retainedBytes(Supplier<?> build) {
    long before = usedAfterCollection();
    Object built = build.get();
    long after = usedAfterCollection();
    Reference.reachabilityFence(built);
    return after - before;
  }

  private static long usedAfterCollection() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
