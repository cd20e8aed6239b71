package org.toucanrack.bench.measure;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.toucanrack.bench.load.BaselineCaller;
import org.toucanrack.bench.load.Caller;
import org.toucanrack.bench.load.LoadClient;
import org.toucanrack.bench.load.OpenLoop;
import org.toucanrack.bench.load.PlannedRequest;
import org.toucanrack.bench.load.Schedule;
import org.toucanrack.bench.result.Phase;
import org.toucanrack.bench.result.Recorder;

/** Runs one scenario: the same schedule for the entry VMs and for the baseline. */
final class Measurement {

  private static final double WARM_UP_MULTIPLE = 0.4;
  // The load tool is warm by then and the backend servers need no warm-up.
  private static final double BASELINE_WARM_UP_SECONDS = 2;
  // Long enough for buckets to fill again and for health polls to see restored servers.
  private static final long SETTLE_MILLIS = 2500;
  private static final double MILLIS_PER_SECOND = 1000;

  private final Scenario scenario;
  private final TestBed bed;
  private final LoadClient client;
  private final long seed;
  private final double seconds;
  private final double entryWarmUpSeconds;

  Measurement(
      Scenario scenario,
      TestBed bed,
      LoadClient client,
      long seed,
      double seconds,
      double entryWarmUpSeconds) {
    this.scenario = scenario;
    this.bed = bed;
    this.client = client;
    this.seed = seed;
    this.seconds = seconds;
    this.entryWarmUpSeconds = entryWarmUpSeconds;
  }

  Phase steered(Caller caller, Processes processes) throws InterruptedException {
    Phase phase =
        run(
            "toucanrack",
            caller,
            left -> scenario.onEntries(bed, processes, left),
            entryWarmUpSeconds);
    scenario.heal(bed);
    return phase;
  }

  Phase baseline() throws InterruptedException {
    BaselineCaller caller = new BaselineCaller(bed.layout(), client, seed, System::nanoTime);
    return run(
        "baseline", caller, left -> scenario.onBaseline(bed, caller), BASELINE_WARM_UP_SECONDS);
  }

  /** Makes an event; gets the seconds left of the run. */
  private interface Event {
    void happen(double secondsLeft);
  }

  private Phase run(String name, Caller caller, Event event, double warmUpSeconds)
      throws InterruptedException {
    List<PlannedRequest> warmUp =
        new Schedule(bed.layout(), seed + 1, name + "-warm-up")
            .make(warmUpSeconds, Schedule.Demand.constant(WARM_UP_MULTIPLE));
    new OpenLoop(caller, new Recorder()).run(warmUp);
    Processes.pause(SETTLE_MILLIS);
    bed.resetBackends();
    scenario.prepare(bed);
    List<PlannedRequest> schedule =
        new Schedule(bed.layout(), seed, name)
            .make(seconds, scenario.demand(bed.layout(), seconds));
    Recorder recorder = new Recorder();
    ScheduledExecutorService events = Executors.newSingleThreadScheduledExecutor();
    double at = scenario.eventSecond(seconds);
    events.schedule(
        () -> happen(event, seconds - at), (long) (at * MILLIS_PER_SECOND), TimeUnit.MILLISECONDS);
    new OpenLoop(caller, recorder).run(schedule);
    events.shutdown();
    long drain = scenario == Scenario.CALM ? drainMillis() : -1;
    return new Phase(name, seconds, recorder, bed.truth(), drain);
  }

  private void happen(Event event, double secondsLeft) {
    try {
      event.happen(secondsLeft);
      scenario.onBackends(bed, secondsLeft);
    } catch (RuntimeException e) {
      System.err.println("measure: the event of the scenario failed: " + e.getMessage());
    }
  }

  private long drainMillis() {
    return bed.drainMillis(Scenario.drainingServer(bed.layout()));
  }
}
