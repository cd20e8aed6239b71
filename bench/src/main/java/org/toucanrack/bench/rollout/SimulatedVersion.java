package org.toucanrack.bench.rollout;

import java.util.PriorityQueue;
import java.util.Random;
import org.toucanrack.bench.rollout.FaultKind.Arrival;

/** The backend servers of one version: latency, background errors and the version's fault. */
final class SimulatedVersion {

  static final int SLOTS = 3;
  private static final int SERVERS = 12;
  private static final double BACKGROUND_ERRORS = 0.002;
  private static final double MEDIAN_LATENCY_SECONDS = 0.04;
  private static final double LATENCY_SPREAD = 0.4;

  /** How one request ends. Immutable. */
  record Ending(double atSeconds, double latencySeconds, boolean failed) {}

  private final Random random;
  private final FaultKind fault;
  private final PriorityQueue<double[]> running =
      new PriorityQueue<>((one, other) -> Double.compare(one[0], other[0]));
  private final int[] inFlight = new int[SERVERS];

  SimulatedVersion(Random random, FaultKind fault) {
    this.random = random;
    this.fault = fault;
  }

  /**
   * Runs a request.
   *
   * @param packed whether requests go to a busy server with a free slot rather than to an idle one
   */
  Ending run(Arrival arrival, boolean packed) {
    release(arrival.seconds());
    int server = choose(packed);
    inFlight[server]++;
    double load = inFlight[server] / (double) SLOTS;
    double failing = BACKGROUND_ERRORS + fault.failingFraction(arrival, load);
    double latency =
        MEDIAN_LATENCY_SECONDS
            * Math.exp(LATENCY_SPREAD * random.nextGaussian())
            * (1 + 0.2 * load)
            * fault.slowdown();
    double end = arrival.seconds() + latency;
    running.add(new double[] {end, server});
    return new Ending(end, latency, random.nextDouble() < failing);
  }

  private void release(double now) {
    while (!running.isEmpty() && running.peek()[0] <= now) {
      inFlight[(int) running.poll()[1]]--;
    }
  }

  private int choose(boolean packed) {
    int best = 0;
    for (int server = 1; server < SERVERS; server++) {
      boolean full = inFlight[server] >= SLOTS;
      boolean better =
          packed ? inFlight[server] > inFlight[best] : inFlight[server] < inFlight[best];
      if (inFlight[best] >= SLOTS || (!full && better)) {
        best = server;
      }
    }
    return best;
  }
}
