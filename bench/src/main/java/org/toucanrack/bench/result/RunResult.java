package org.toucanrack.bench.result;

import java.util.LinkedHashMap;
import java.util.Map;
import org.toucanrack.configuration.Customer;
import org.toucanrack.configuration.Deployment;

/**
 * The result of running one system under one schedule.
 *
 * @param name the name of the system
 * @param seconds duration of the schedule
 * @param recorder the outcomes as observed by callers
 * @param backendRecords the runs as recorded by backend servers
 * @param drainMillis time from the start of a drain to the last request start on the draining
 *     server; negative if there was no drain
 */
public record RunResult(
    String name,
    double seconds,
    Recorder recorder,
    BackendRecords backendRecords,
    long drainMillis) {

  /** Returns the runs in excess of rate and burst, summed over all customers. */
  public long rateExcess(Deployment deployment) {
    long excessRuns = 0;
    for (Customer customer : deployment.customers()) {
      double allowedRuns = customer.requestsPerSecond() * seconds + customer.burst();
      int runs = backendRecords.runsByCustomer().getOrDefault(customer.id().value(), 0);
      excessRuns += Math.max(0, Math.round(runs - Math.ceil(allowedRuns)));
    }
    return excessRuns;
  }

  /** Returns all figures by their keys in the JSON result. */
  public Map<String, Object> describe(Deployment deployment) {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("all", recorder.all().describe());
    figures.put("refusedWithinRate", recorder.refusedWithinRate());
    figures.put("worstServedShare", recorder.worstServedShare());
    figures.put("unfinished", recorder.unfinished());
    figures.put("crossedAnswers", recorder.crossedAnswers());
    figures.put("falseNotRun", backendRecords.falseNotRun(recorder.notRunIds()));
    figures.put("answeredWithoutRun", backendRecords.answeredWithoutRun(recorder.answeredIds()));
    figures.put("rateExcess", rateExcess(deployment));
    figures.put("drainMillis", drainMillis);
    figures.put("backends", backendRecords.describe());
    figures.put("notAnswered", recorder.notAnswered());
    figures.put("examplesOfNotAnswered", recorder.notAnsweredExamples());
    Map<String, Object> routes = new LinkedHashMap<>();
    recorder.byRoute().forEach((route, statistics) -> routes.put(route, statistics.describe()));
    figures.put("routes", routes);
    Map<String, Object> customers = new LinkedHashMap<>();
    recorder
        .byCustomer()
        .forEach(
            (customer, statistics) -> {
              Map<String, Object> described = statistics.describe();
              described.put("refusedWithinRate", statistics.refusedWithinRate());
              described.put("servedShare", statistics.servedShare());
              customers.put(customer, described);
            });
    figures.put("customers", customers);
    return figures;
  }
}
