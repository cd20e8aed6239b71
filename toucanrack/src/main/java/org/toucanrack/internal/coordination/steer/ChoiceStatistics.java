package org.toucanrack.internal.coordination.steer;

import java.util.Map;
import java.util.TreeMap;

/**
 * Statistics of the server choices for one service since the last report: reasons, affinity misses,
 * and the error of the load estimates. Not thread-safe.
 */
public final class ChoiceStatistics {

  private final Map<String, Integer> reasons = new TreeMap<>();
  private int affinityMisses;
  private int loadReports;
  private double estimatedLoad;
  private double reportedLoad;

  /**
   * The statistics of one interval.
   *
   * @param reasons number of choices, by reason
   * @param affinityMisses choices of a server that is not known to have handled the object recently
   * @param loadReports answers that reported the load of their server
   * @param estimatedLoad mean load estimated just before these answers
   * @param reportedLoad mean load that they reported
   */
  public record Report(
      Map<String, Integer> reasons,
      int affinityMisses,
      int loadReports,
      double estimatedLoad,
      double reportedLoad) {

    /** Copies the map. */
    public Report {
      reasons = Map.copyOf(reasons);
    }

    /** Returns the number of choices for all reasons. */
    public int choices() {
      return reasons.values().stream().mapToInt(Integer::intValue).sum();
    }
  }

  /** Counts a choice. */
  public void recordChoice(ServerChooser.Choice choice) {
    reasons.merge(choice.reason(), 1, Integer::sum);
    if (choice instanceof ServerChooser.Choice.Use use && !use.affinityHit()) {
      affinityMisses++;
    }
  }

  /** Counts an answer that reported the load of its server. */
  public void recordReportedLoad(double estimated, int reported) {
    loadReports++;
    estimatedLoad += estimated;
    reportedLoad += reported;
  }

  /** Returns the statistics since the last call and resets them. */
  public Report snapshotAndReset() {
    double divisor = Math.max(1, loadReports);
    final Report report =
        new Report(
            reasons, affinityMisses, loadReports, estimatedLoad / divisor, reportedLoad / divisor);
    reasons.clear();
    affinityMisses = 0;
    loadReports = 0;
    estimatedLoad = 0;
    reportedLoad = 0;
    return report;
  }
}
