package org.toucanrack.bench.rollout;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.toucanrack.bench.rollout.FaultKind.Arrival;
import org.toucanrack.bench.rollout.SimulatedVersion.Completion;

/**
 * Compares the rollout of toucanrack with a fixed canary in simulated time, by kind of fault.
 *
 * <p>Arguments: number of seeds (default 50) and requests per second (default 200).
 */
public final class RolloutExperiment {

  private static final int VM_COUNT = 4;
  private static final int ROUTE_COUNT = 4;
  private static final double CARRY_BY_SECONDS = 1200;

  /** Result of one run. Immutable. */
  private record Run(long requests, long badRequests, boolean rolledBack, boolean complete) {}

  private record PendingRequest(Arrival arrival, Completion completion, boolean candidate) {}

  private RolloutExperiment() {}

  /** Simulates all kinds of fault and prints one table row per kind and strategy. */
  public static void main(String[] arguments) {
    int seeds = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 50;
    double requestsPerSecond = arguments.length > 1 ? Double.parseDouble(arguments[1]) : 200;
    System.out.println(
        "| Fault | Strategy | Bad requests: mean (max) | Share | Taken back | Done |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    for (FaultKind kind : FaultKind.values()) {
      printRow(
          kind,
          "judged",
          seeds,
          requestsPerSecond,
          random -> new JudgedRollout(VM_COUNT, CARRY_BY_SECONDS));
      printRow(kind, "fixed 5%", seeds, requestsPerSecond, FixedCanary::new);
    }
  }

  private static void printRow(
      FaultKind kind,
      String name,
      int seeds,
      double requestsPerSecond,
      Function<Random, RolloutStrategy> strategy) {
    List<Run> runs =
        IntStream.rangeClosed(1, seeds)
            .parallel()
            .mapToObj(
                seed ->
                    run(
                        kind,
                        strategy.apply(new Random(seed + 1000L)),
                        requestsPerSecond,
                        new Random(seed)))
            .toList();
    double meanBadRequests = runs.stream().mapToLong(Run::badRequests).average().orElse(0);
    long maxBadRequests = runs.stream().mapToLong(Run::badRequests).max().orElse(0);
    long requests = runs.stream().mapToLong(Run::requests).sum();
    System.out.printf(
        "| %s | %s | %.0f (%d) | %.4f%% | %d of %d | %d of %d |%n",
        kind,
        name,
        meanBadRequests,
        maxBadRequests,
        100 * meanBadRequests * seeds / requests,
        runs.stream().filter(Run::rolledBack).count(),
        seeds,
        runs.stream().filter(Run::complete).count(),
        seeds);
  }

  private static Run run(
      FaultKind kind, RolloutStrategy strategy, double requestsPerSecond, Random random) {
    SimulatedVersion stable = new SimulatedVersion(random, FaultKind.NONE);
    SimulatedVersion candidate = new SimulatedVersion(random, kind);
    PriorityQueue<PendingRequest> pending =
        new PriorityQueue<>(Comparator.comparingDouble(entry -> entry.completion().endSeconds()));
    long requests = 0;
    long badRequests = 0;
    double nextTick = 0;
    for (double nowSeconds = 0;
        nowSeconds < CARRY_BY_SECONDS;
        nowSeconds += interArrivalSeconds(random, requestsPerSecond)) {
      while (!pending.isEmpty() && pending.peek().completion().endSeconds() <= nowSeconds) {
        PendingRequest completed = pending.poll();
        strategy.observe(completed.arrival(), completed.completion(), completed.candidate());
      }
      for (; nextTick <= nowSeconds; nextTick++) {
        strategy.tick(nextTick);
      }
      Arrival arrival =
          new Arrival(
              nowSeconds,
              random.nextInt(VM_COUNT),
              random.nextInt(ROUTE_COUNT),
              chooseCustomer(random));
      boolean onCandidate = strategy.selectsCandidate(arrival);
      Completion completion =
          onCandidate
              ? candidate.run(arrival, strategy.concentratesLoad())
              : stable.run(arrival, false);
      pending.add(new PendingRequest(arrival, completion, onCandidate));
      requests++;
      badRequests += onCandidate && isBad(kind, arrival, completion) ? 1 : 0;
    }
    return new Run(requests, badRequests, strategy.isRolledBack(), strategy.isComplete());
  }

  /** Returns whether a request to a version with a fault failed or was slowed down. */
  private static boolean isBad(FaultKind kind, Arrival arrival, Completion completion) {
    return kind != FaultKind.NONE && (completion.failed() || kind.slowdownFactor() > 1);
  }

  /** Draws a customer; shares decrease from 40% for customer 0 to 2% for customer 7. */
  private static int chooseCustomer(Random random) {
    double[] cumulativeShares = {0.4, 0.6, 0.75, 0.84, 0.9, 0.95, 0.98, 1};
    double draw = random.nextDouble();
    int customer = 0;
    while (draw >= cumulativeShares[customer]) {
      customer++;
    }
    return customer;
  }

  private static double interArrivalSeconds(Random random, double requestsPerSecond) {
    return -Math.log(1 - random.nextDouble()) / requestsPerSecond;
  }
}
