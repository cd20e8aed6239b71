package org.toucanrack.bench.rollout;

import java.util.PriorityQueue;
import java.util.Random;
import org.toucanrack.bench.rollout.FaultKind.Arrival;

/** Simulates the backend servers of one version: latency, background errors and the fault. */
final class SimulatedVersion {

  static final int SLOTS_PER_SERVER = 3;
  private static final int SERVER_COUNT = 12;
  private static final double BACKGROUND_ERROR_PROBABILITY = 0.002;
  private static final double MEDIAN_LATENCY_SECONDS = 0.04;
  private static final double LATENCY_LOG_SIGMA = 0.4;

  /** The completion of one request. Immutable. */
  record Completion(double endSeconds, double latencySeconds, boolean failed) {}

  private final Random random;
  private final FaultKind fault;
  // Entries are {end in seconds, server index}, ordered by end.
  private final PriorityQueue<double[]> running =
      new PriorityQueue<>((one, other) -> Double.compare(one[0], other[0]));
  private final int[] inFlight = new int[SERVER_COUNT];

  SimulatedVersion(Random random, FaultKind fault) {
    this.random = random;
    this.fault = fault;
  }

  /**
   * Runs a request.
   *
   * @param concentrated whether requests go to a busy server with a free slot rather than to an
   *     idle one
   */
  Completion run(Arrival arrival, boolean concentrated) {
    releaseCompleted(arrival.seconds());
    int server = chooseServer(concentrated);
    inFlight[server]++;
    double load = inFlight[server] / (double) SLOTS_PER_SERVER;
    double failureProbability =
        BACKGROUND_ERROR_PROBABILITY + fault.failureProbability(arrival, load);
    double latencySeconds =
        MEDIAN_LATENCY_SECONDS
            * Math.exp(LATENCY_LOG_SIGMA * random.nextGaussian())
            * (1 + 0.2 * load)
            * fault.slowdownFactor();
    double endSeconds = arrival.seconds() + latencySeconds;
    running.add(new double[] {endSeconds, server});
    return new Completion(endSeconds, latencySeconds, random.nextDouble() < failureProbability);
  }

  private void releaseCompleted(double nowSeconds) {
    while (!running.isEmpty() && running.peek()[0] <= nowSeconds) {
      inFlight[(int) running.poll()[1]]--;
    }
  }

  private int chooseServer(boolean concentrated) {
    int best = 0;
    for (int server = 1; server < SERVER_COUNT; server++) {
      boolean full = inFlight[server] >= SLOTS_PER_SERVER;
      boolean better =
          concentrated ? inFlight[server] > inFlight[best] : inFlight[server] < inFlight[best];
      if (inFlight[best] >= SLOTS_PER_SERVER || (!full && better)) {
        best = server;
      }
    }
    return best;
  }
}
