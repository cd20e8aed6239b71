package org.toucanrack.bench.result;

import java.util.LinkedHashMap;
import java.util.Map;
import org.toucanrack.configuration.Customer;
import org.toucanrack.configuration.Deployment;

/**
 * The figures of one system under one schedule.
 *
 * @param name the system
 * @param seconds length of the schedule
 * @param recorder what callers saw
 * @param truth what backend servers saw
 * @param drainMillis time from the start of a drain to the last request that started on the server;
 *     negative if there was no drain
 */
public record Phase(
    String name, double seconds, Recorder recorder, BackendTruth truth, long drainMillis) {

  /** Returns runs beyond what rate and burst of each customer allow, summed over customers. */
  public long rateExcess(Deployment deployment) {
    long excess = 0;
    for (Customer customer : deployment.customers()) {
      double allowed = customer.requestsPerSecond() * seconds + customer.burst();
      int runs = truth.runsByCustomer().getOrDefault(customer.id().value(), 0);
      excess += Math.max(0, Math.round(runs - Math.ceil(allowed)));
    }
    return excess;
  }

  /** Returns all figures for the JSON result. */
  public Map<String, Object> describe(Deployment deployment) {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("all", recorder.all().describe());
    figures.put("refusedWithinRate", recorder.refusedWithinRate());
    figures.put("worstServedShare", recorder.worstServedShare());
    figures.put("unfinished", recorder.unfinished());
    figures.put("crossedAnswers", recorder.crossed());
    figures.put("falseNotRun", truth.falseNotRun(recorder.notRunIds()));
    figures.put("answeredWithoutRun", truth.answeredWithoutRun(recorder.answeredIds()));
    figures.put("rateExcess", rateExcess(deployment));
    figures.put("drainMillis", drainMillis);
    figures.put("backends", truth.describe());
    figures.put("notAnswered", recorder.rejections());
    figures.put("examplesOfNotAnswered", recorder.examples());
    Map<String, Object> routes = new LinkedHashMap<>();
    recorder.byRoute().forEach((route, series) -> routes.put(route, series.describe()));
    figures.put("routes", routes);
    Map<String, Object> customers = new LinkedHashMap<>();
    recorder
        .byCustomer()
        .forEach(
            (customer, series) -> {
              Map<String, Object> described = series.describe();
              described.put("refusedWithinRate", series.refusedWithinRate());
              described.put("servedShare", series.servedShare());
              customers.put(customer, described);
            });
    figures.put("customers", customers);
    return figures;
  }
}
