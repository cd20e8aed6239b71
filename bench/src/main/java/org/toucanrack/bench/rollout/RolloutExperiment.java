package org.toucanrack.bench.rollout;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.toucanrack.bench.rollout.FaultKind.Arrival;
import org.toucanrack.bench.rollout.SimulatedVersion.Ending;

/**
 * Compares the judged rollout with a fixed canary in simulated time, by kind of fault.
 *
 * <p>Arguments: seeds (default 50) and requests per second (default 200).
 */
public final class RolloutExperiment {

  private static final int VMS = 4;
  private static final int ROUTES = 4;
  private static final double CARRY_BY_SECONDS = 1200;

  /** Result of one run. Immutable. */
  private record Run(long requests, long bad, boolean takenBack, boolean complete) {}

  private record Pending(Arrival arrival, Ending ending, boolean candidate) {}

  private RolloutExperiment() {}

  /** Runs all kinds of fault and prints one line for each kind and strategy. */
  public static void main(String[] arguments) {
    int seeds = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 50;
    double rate = arguments.length > 1 ? Double.parseDouble(arguments[1]) : 200;
    System.out.println(
        "| Fault | Strategy | Bad requests: mean (max) | Share | Taken back | Done |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    for (FaultKind kind : FaultKind.values()) {
      print(kind, "judged", seeds, rate, random -> new JudgedRollout(VMS, CARRY_BY_SECONDS));
      print(kind, "fixed 5%", seeds, rate, FixedCanary::new);
    }
  }

  private static void print(
      FaultKind kind, String name, int seeds, double rate, Function<Random, Strategy> strategy) {
    List<Run> runs =
        IntStream.rangeClosed(1, seeds)
            .parallel()
            .mapToObj(
                seed -> run(kind, strategy.apply(new Random(seed + 1000L)), rate, new Random(seed)))
            .toList();
    double mean = runs.stream().mapToLong(Run::bad).average().orElse(0);
    long max = runs.stream().mapToLong(Run::bad).max().orElse(0);
    long requests = runs.stream().mapToLong(Run::requests).sum();
    System.out.printf(
        "| %s | %s | %.0f (%d) | %.4f%% | %d of %d | %d of %d |%n",
        kind,
        name,
        mean,
        max,
        100 * mean * seeds / requests,
        runs.stream().filter(Run::takenBack).count(),
        seeds,
        runs.stream().filter(Run::complete).count(),
        seeds);
  }

  private static Run run(FaultKind kind, Strategy strategy, double rate, Random random) {
    SimulatedVersion before = new SimulatedVersion(random, FaultKind.NONE);
    SimulatedVersion candidate = new SimulatedVersion(random, kind);
    PriorityQueue<Pending> pending =
        new PriorityQueue<>(Comparator.comparingDouble(entry -> entry.ending().atSeconds()));
    long requests = 0;
    long bad = 0;
    double tick = 0;
    for (double now = 0; now < CARRY_BY_SECONDS; now += gap(random, rate)) {
      while (!pending.isEmpty() && pending.peek().ending().atSeconds() <= now) {
        Pending ended = pending.poll();
        strategy.observe(ended.arrival(), ended.ending(), ended.candidate());
      }
      for (; tick <= now; tick++) {
        strategy.tick(tick);
      }
      Arrival arrival =
          new Arrival(now, random.nextInt(VMS), random.nextInt(ROUTES), customer(random));
      boolean exposed = strategy.select(arrival);
      Ending ending =
          exposed ? candidate.run(arrival, strategy.packs()) : before.run(arrival, false);
      pending.add(new Pending(arrival, ending, exposed));
      requests++;
      bad += exposed && isBad(kind, arrival, ending) ? 1 : 0;
    }
    return new Run(requests, bad, strategy.isTakenBack(), strategy.isComplete());
  }

  /** A request is bad if its version's fault could have hit it and it failed or was slowed. */
  private static boolean isBad(FaultKind kind, Arrival arrival, Ending ending) {
    return kind != FaultKind.NONE && (ending.failed() || kind.slowdown() > 1);
  }

  /** Large customers first: customer 0 sends 40%, customer 7 sends 2%. */
  private static int customer(Random random) {
    double[] upTo = {0.4, 0.6, 0.75, 0.84, 0.9, 0.95, 0.98, 1};
    double drawn = random.nextDouble();
    int customer = 0;
    while (drawn >= upTo[customer]) {
      customer++;
    }
    return customer;
  }

  private static double gap(Random random, double rate) {
    return -Math.log(1 - random.nextDouble()) / rate;
  }
}
