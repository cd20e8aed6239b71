package org.toucanrack.bench.latency;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.toucanrack.bench.Arguments;
import org.toucanrack.bench.layout.Keys;
import org.toucanrack.bench.layout.Layout;
import org.toucanrack.bench.load.BaselineCaller;
import org.toucanrack.bench.load.Caller;
import org.toucanrack.bench.load.LoadClient;
import org.toucanrack.bench.load.OpenLoop;
import org.toucanrack.bench.load.Outcome;
import org.toucanrack.bench.load.PlannedRequest;
import org.toucanrack.bench.load.Schedule;
import org.toucanrack.bench.load.SteeredCaller;
import org.toucanrack.bench.measure.Processes;
import org.toucanrack.bench.measure.TestBed;
import org.toucanrack.bench.result.Recorder;
import org.toucanrack.bench.result.Series;

/**
 * {@code bench latency}: added latency of the entry VMs against direct calls of the backend
 * servers, and requests per CPU-second of the entry VMs. Both are measured in turns in one run, so
 * that other load on the machine meets both.
 */
public final class LatencyCommand {

  private static final int ROUNDS = 5;
  private static final double DEMAND = 0.25;
  private static final double IDLE_SECONDS = 3;
  private static final double NANOS_PER_SECOND = 1e9;

  private final Layout layout;
  private final LoadClient client;
  private final Processes processes;
  private final double secondsPerRound;
  private final Recorder entry = new Recorder();
  private final Recorder direct = new Recorder();
  private double cpuSeconds;
  private double busySeconds;

  private LatencyCommand(
      Layout layout, LoadClient client, Processes processes, double secondsPerRound) {
    this.layout = layout;
    this.client = client;
    this.processes = processes;
    this.secondsPerRound = secondsPerRound;
  }

  /** Runs the command; returns the exit code. */
  public static int run(Arguments arguments) throws Exception {
    Layout layout = Layout.read(Path.of(arguments.required("file")));
    Map<String, String> keys = Keys.read(Path.of(arguments.required("keys")));
    Processes processes = Processes.read(Path.of(arguments.required("processes")));
    double seconds = Double.parseDouble(arguments.optional("seconds", "3"));
    try (LoadClient client = new LoadClient()) {
      LatencyCommand command = new LatencyCommand(layout, client, processes, seconds);
      Map<String, Object> result = command.measure(keys);
      Path directory = Path.of(arguments.optional("out", "measure-results"));
      Files.createDirectories(directory);
      new ObjectMapper()
          .writerWithDefaultPrettyPrinter()
          .writeValue(
              directory.resolve(layout.deployment().name() + "-latency.json").toFile(), result);
      result.forEach((name, value) -> System.out.println("latency: " + name + " " + value));
    }
    return 0;
  }

  private Map<String, Object> measure(Map<String, String> keys) throws Exception {
    TestBed bed = new TestBed(layout, client);
    bed.resetBackends();
    layout
        .backends()
        .keySet()
        .forEach(service -> bed.controlService(service, "{\"serviceTime\":\"fixed:0\"}"));
    List<String> entries = layout.entries().stream().map(Layout.Entry::callers).toList();
    Caller steered = new SteeredCaller(client, entries, keys);
    Caller straight = new BaselineCaller(layout, client, 1, System::nanoTime);
    send(steered, new Recorder(), 100);
    send(straight, new Recorder(), 200);
    double idleCpuPerSecond = idleCpuPerSecond();
    for (int round = 0; round < ROUNDS; round++) {
      send(straight, direct, round);
      double before = processes.cpuSecondsOfAll();
      long start = System.nanoTime();
      send(steered, entry, round);
      cpuSeconds += processes.cpuSecondsOfAll() - before;
      busySeconds += (System.nanoTime() - start) / NANOS_PER_SECOND;
    }
    bed.resetBackends();
    return describe(idleCpuPerSecond);
  }

  private void send(Caller caller, Recorder recorder, int round) throws InterruptedException {
    List<PlannedRequest> reads =
        new Schedule(layout, round, "latency-" + round)
            .make(secondsPerRound, Schedule.Demand.constant(DEMAND)).stream()
                .filter(PlannedRequest::idempotent)
                .toList();
    new OpenLoop(caller, recorder).run(reads);
  }

  private double idleCpuPerSecond() throws IOException, InterruptedException {
    double before = processes.cpuSecondsOfAll();
    Thread.sleep((long) (IDLE_SECONDS * 1000));
    return (processes.cpuSecondsOfAll() - before) / IDLE_SECONDS;
  }

  private Map<String, Object> describe(double idleCpuPerSecond) {
    Series entrySeries = entry.all();
    Series directSeries = direct.all();
    Map<String, Object> result = new LinkedHashMap<>();
    result.put("sent", entrySeries.sent());
    result.put("answered", entrySeries.count(Outcome.ANSWERED));
    result.put("directAnswered", directSeries.count(Outcome.ANSWERED));
    for (double percentile : new double[] {50, 99}) {
      String name = "p" + (int) percentile;
      result.put(name + "EntryMillis", entrySeries.millisAt(percentile));
      result.put(name + "DirectMillis", directSeries.millisAt(percentile));
      result.put(
          name + "AddedMillis",
          entrySeries.millisAt(percentile) - directSeries.millisAt(percentile));
    }
    result.put("idleCpuShareOfAllEntryVms", idleCpuPerSecond);
    result.put("requestsPerCpuSecond", entrySeries.sent() / cpuSeconds);
    double loadCpu = cpuSeconds - idleCpuPerSecond * busySeconds;
    result.put("requestsPerCpuSecondWithoutIdle", entrySeries.sent() / loadCpu);
    return result;
  }
}
