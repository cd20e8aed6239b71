package org.toucanrack.bench.capacity;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.function.Supplier;

/**
 * Measures CPU time and allocation of the calling thread, and retained heap. CPU time excludes
 * garbage collection and JIT compilation, which run on other threads. Not thread-safe.
 */
final class CostMeter {

  private static final int REPEATS = 5;
  private static final int GARBAGE_COLLECTION_RUNS = 2;
  private static final ThreadMXBean THREAD_BEAN =
      (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private final Scale scale;

  CostMeter(Scale scale) {
    this.scale = scale;
  }

  /**
   * The cost of one operation. Immutable and thread-safe.
   *
   * @param cpuNanos median CPU time of the repeats
   * @param spreadPercent difference between the largest and the smallest repeat, relative to the
   *     median
   * @param allocatedBytes mean allocation of the repeats
   */
  record Cost(double cpuNanos, double spreadPercent, double allocatedBytes) {}

  Cost measure(Runnable operation) {
    long operations = warmUp(operation);
    double[] nanosPerOperation = new double[REPEATS];
    long allocatedBytesBefore = THREAD_BEAN.getCurrentThreadAllocatedBytes();
    for (int i = 0; i < REPEATS; i++) {
      nanosPerOperation[i] = (double) cpuNanosOf(operation, operations) / operations;
    }
    long allocatedBytes = THREAD_BEAN.getCurrentThreadAllocatedBytes() - allocatedBytesBefore;
    Arrays.sort(nanosPerOperation);
    double medianNanos = nanosPerOperation[REPEATS / 2];
    double spreadPercent =
        medianNanos == 0
            ? 0
            : 100 * (nanosPerOperation[REPEATS - 1] - nanosPerOperation[0]) / medianNanos;
    return new Cost(medianNanos, spreadPercent, (double) allocatedBytes / (REPEATS * operations));
  }

  /**
   * Runs for the warm-up time, so that the code is JIT-compiled before the first repeat; returns
   * the number of operations that fill one repeat.
   */
  private long warmUp(Runnable operation) {
    long operations = 1;
    long batchCpuNanos = cpuNanosOf(operation, operations);
    long totalCpuNanos = batchCpuNanos;
    while (totalCpuNanos < scale.warmUpNanos()) {
      operations = batchCpuNanos < scale.repeatNanos() ? operations * 2 : operations;
      batchCpuNanos = cpuNanosOf(operation, operations);
      totalCpuNanos += batchCpuNanos;
    }
    double nanosPerOperation = Math.max(1, (double) batchCpuNanos / operations);
    return Math.max(1, (long) (scale.repeatNanos() / nanosPerOperation));
  }

  private static long cpuNanosOf(Runnable operation, long operations) {
    long before = THREAD_BEAN.getCurrentThreadCpuTime();
    for (long i = 0; i < operations; i++) {
      operation.run();
    }
    return THREAD_BEAN.getCurrentThreadCpuTime() - before;
  }

  /** Returns the heap in bytes that the supplied object retains after garbage collection. */
  static long retainedBytes(Supplier<?> supplier) {
    long before = usedAfterCollection();
    Object retained = supplier.get();
    long after = usedAfterCollection();
    Reference.reachabilityFence(retained);
    return after - before;
  }

  private static long usedAfterCollection() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < GARBAGE_COLLECTION_RUNS; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
