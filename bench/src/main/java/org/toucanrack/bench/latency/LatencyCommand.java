package org.toucanrack.bench.latency;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.toucanrack.bench.Arguments;
import org.toucanrack.bench.layout.CustomerKeys;
import org.toucanrack.bench.layout.Layout;
import org.toucanrack.bench.load.BaselineCaller;
import org.toucanrack.bench.load.Caller;
import org.toucanrack.bench.load.LoadClient;
import org.toucanrack.bench.load.OpenLoop;
import org.toucanrack.bench.load.Outcome;
import org.toucanrack.bench.load.PlannedRequest;
import org.toucanrack.bench.load.ScheduleGenerator;
import org.toucanrack.bench.load.SteeredCaller;
import org.toucanrack.bench.measure.EntryVmProcesses;
import org.toucanrack.bench.measure.TestBed;
import org.toucanrack.bench.result.Recorder;
import org.toucanrack.bench.result.RequestStatistics;

/**
 * {@code bench latency}: measures the latency that entry VMs add to direct calls of the backend
 * servers, and their requests per CPU-second. Direct and steered rounds alternate within one run,
 * so that other load on the host affects both alike.
 */
public final class LatencyCommand {

  private static final int ROUNDS = 5;
  private static final double DEMAND_MULTIPLIER = 0.25;
  private static final double IDLE_SECONDS = 3;
  private static final double NANOS_PER_SECOND = 1e9;

  private final Layout layout;
  private final LoadClient client;
  private final EntryVmProcesses processes;
  private final double secondsPerRound;
  private final Recorder entryRecorder = new Recorder();
  private final Recorder directRecorder = new Recorder();
  private double cpuSeconds;
  private double loadSeconds;

  private LatencyCommand(
      Layout layout, LoadClient client, EntryVmProcesses processes, double secondsPerRound) {
    this.layout = layout;
    this.client = client;
    this.processes = processes;
    this.secondsPerRound = secondsPerRound;
  }

  /** Runs the command; returns the exit code. */
  public static int run(Arguments arguments) throws Exception {
    Layout layout = Layout.read(Path.of(arguments.required("file")));
    Map<String, String> keys = CustomerKeys.read(Path.of(arguments.required("keys")));
    EntryVmProcesses processes = EntryVmProcesses.read(Path.of(arguments.required("processes")));
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
    TestBed testBed = new TestBed(layout, client);
    testBed.resetBackendServers();
    layout
        .serversByService()
        .keySet()
        .forEach(service -> testBed.controlService(service, "{\"serviceTime\":\"fixed:0\"}"));
    List<String> entryAddresses =
        layout.entryVms().stream().map(Layout.EntryVmSpec::callersAddress).toList();
    Caller entryCaller = new SteeredCaller(client, entryAddresses, keys);
    Caller directCaller = new BaselineCaller(layout, client, 1, System::nanoTime);
    // Warm-up with schedules of their own; the results are discarded.
    send(entryCaller, new Recorder(), 100);
    send(directCaller, new Recorder(), 200);
    double idleCpuShare = measureIdleCpuShare();
    for (int round = 0; round < ROUNDS; round++) {
      send(directCaller, directRecorder, round);
      double before = processes.totalCpuSeconds();
      long start = System.nanoTime();
      send(entryCaller, entryRecorder, round);
      cpuSeconds += processes.totalCpuSeconds() - before;
      loadSeconds += (System.nanoTime() - start) / NANOS_PER_SECOND;
    }
    testBed.resetBackendServers();
    return describe(idleCpuShare);
  }

  private void send(Caller caller, Recorder recorder, int round) throws InterruptedException {
    List<PlannedRequest> reads =
        new ScheduleGenerator(layout, round, "latency-" + round)
                .generate(secondsPerRound, ScheduleGenerator.Demand.constant(DEMAND_MULTIPLIER))
                .stream()
                .filter(PlannedRequest::idempotent)
                .toList();
    new OpenLoop(caller, recorder).run(reads);
  }

  private double measureIdleCpuShare() throws IOException, InterruptedException {
    double before = processes.totalCpuSeconds();
    Thread.sleep((long) (IDLE_SECONDS * 1000));
    return (processes.totalCpuSeconds() - before) / IDLE_SECONDS;
  }

  private Map<String, Object> describe(double idleCpuShare) {
    RequestStatistics entryStatistics = entryRecorder.all();
    RequestStatistics directStatistics = directRecorder.all();
    Map<String, Object> result = new LinkedHashMap<>();
    result.put("sent", entryStatistics.sent());
    result.put("answered", entryStatistics.count(Outcome.ANSWERED));
    result.put("directAnswered", directStatistics.count(Outcome.ANSWERED));
    for (double percentile : new double[] {50, 99}) {
      String name = "p" + (int) percentile;
      result.put(name + "EntryMillis", entryStatistics.latencyMillisAt(percentile));
      result.put(name + "DirectMillis", directStatistics.latencyMillisAt(percentile));
      result.put(
          name + "AddedMillis",
          entryStatistics.latencyMillisAt(percentile)
              - directStatistics.latencyMillisAt(percentile));
    }
    result.put("idleCpuShareOfAllEntryVms", idleCpuShare);
    result.put("requestsPerCpuSecond", entryStatistics.sent() / cpuSeconds);
    double loadCpuSeconds = cpuSeconds - idleCpuShare * loadSeconds;
    result.put("requestsPerCpuSecondWithoutIdle", entryStatistics.sent() / loadCpuSeconds);
    return result;
  }
}
