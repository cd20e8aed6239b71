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
import org.toucanrack.bench.load.ScheduleGenerator;
import org.toucanrack.bench.result.Recorder;
import org.toucanrack.bench.result.RunResult;

/** Runs one scenario with the same seed and demand on the entry VMs and on the baseline. */
final class Measurement {

  private static final double WARM_UP_MULTIPLIER = 0.4;
  // Short: this process is already warmed up, and the backend servers need no warm-up.
  private static final double BASELINE_WARM_UP_SECONDS = 2;
  // Lets token buckets refill and health checks detect recovered servers.
  private static final long SETTLE_MILLIS = 2500;
  private static final double MILLIS_PER_SECOND = 1000;

  private final Scenario scenario;
  private final TestBed testBed;
  private final LoadClient client;
  private final long seed;
  private final double seconds;
  private final double entryWarmUpSeconds;

  Measurement(
      Scenario scenario,
      TestBed testBed,
      LoadClient client,
      long seed,
      double seconds,
      double entryWarmUpSeconds) {
    this.scenario = scenario;
    this.testBed = testBed;
    this.client = client;
    this.seed = seed;
    this.seconds = seconds;
    this.entryWarmUpSeconds = entryWarmUpSeconds;
  }

  RunResult measureToucanrack(Caller caller, EntryVmProcesses processes)
      throws InterruptedException {
    RunResult result =
        run(
            "toucanrack",
            caller,
            secondsLeft -> scenario.applyToEntryVms(testBed, processes, secondsLeft),
            entryWarmUpSeconds);
    scenario.clearFaults(testBed);
    return result;
  }

  RunResult measureBaseline() throws InterruptedException {
    BaselineCaller caller = new BaselineCaller(testBed.layout(), client, seed, System::nanoTime);
    return run(
        "baseline",
        caller,
        secondsLeft -> scenario.applyToBaseline(testBed, caller),
        BASELINE_WARM_UP_SECONDS);
  }

  /** The event of a scenario; receives the remaining seconds of the run. */
  private interface Event {
    void trigger(double secondsLeft);
  }

  private RunResult run(String name, Caller caller, Event event, double warmUpSeconds)
      throws InterruptedException {
    List<PlannedRequest> warmUp =
        new ScheduleGenerator(testBed.layout(), seed + 1, name + "-warm-up")
            .generate(warmUpSeconds, ScheduleGenerator.Demand.constant(WARM_UP_MULTIPLIER));
    new OpenLoop(caller, new Recorder()).run(warmUp);
    EntryVmProcesses.pause(SETTLE_MILLIS);
    testBed.resetBackendServers();
    scenario.prepare(testBed);
    List<PlannedRequest> schedule =
        new ScheduleGenerator(testBed.layout(), seed, name)
            .generate(seconds, scenario.demand(testBed.layout(), seconds));
    Recorder recorder = new Recorder();
    ScheduledExecutorService eventExecutor = Executors.newSingleThreadScheduledExecutor();
    double eventSecond = scenario.eventSecond(seconds);
    eventExecutor.schedule(
        () -> triggerEvent(event, seconds - eventSecond),
        (long) (eventSecond * MILLIS_PER_SECOND),
        TimeUnit.MILLISECONDS);
    new OpenLoop(caller, recorder).run(schedule);
    eventExecutor.shutdown();
    long drainMillis = scenario == Scenario.CALM ? readDrainMillis() : -1;
    return new RunResult(name, seconds, recorder, testBed.backendRecords(), drainMillis);
  }

  private void triggerEvent(Event event, double secondsLeft) {
    try {
      event.trigger(secondsLeft);
      scenario.applyToBackendServers(testBed, secondsLeft);
    } catch (RuntimeException e) {
      System.err.println("measure: the scenario's event failed: " + e.getMessage());
    }
  }

  private long readDrainMillis() {
    return testBed.drainMillis(Scenario.drainingServer(testBed.layout()));
  }
}
