package org.toucanrack.internal.serve;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.toucanrack.ToucanrackException;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.configuration.Region;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.coordination.move.MoveRecord;
import org.toucanrack.internal.state.TrafficSplit;
import org.toucanrack.platform.Row;

/** Derives traffic splits from the records of moves. Stateless and thread-safe. */
final class MoveSplits {

  private static final Logger LOGGER = System.getLogger(MoveSplits.class.getName());

  private MoveSplits() {}

  /** Returns the split of each failure domain from which a move takes traffic. */
  static List<TrafficSplit> of(List<Row> rows, Deployment deployment) {
    List<TrafficSplit> splits = new ArrayList<>();
    for (Row row : rows) {
      parse(row)
          .filter(record -> record.split() > 0)
          .ifPresent(record -> splits.addAll(splitsOf(record, deployment)));
    }
    return splits;
  }

  /** Returns the record in a row; logs a warning and returns empty if it is invalid. */
  static Optional<MoveRecord> parse(Row row) {
    try {
      return Optional.of(MoveRecord.fromJson(row.value()));
    } catch (ToucanrackException e) {
      LOGGER.log(
          Level.WARNING, "[move] Ignored the invalid record {0}: {1}", row.key(), e.getMessage());
      return Optional.empty();
    }
  }

  /**
   * Returns the failure domains of a region, or the failure domain itself, as named by a move's
   * {@code from} or {@code to}.
   */
  static List<FailureDomainId> failureDomains(String regionOrDomain, Deployment deployment) {
    return deployment.regions().stream()
        .filter(region -> region.id().value().equals(regionOrDomain))
        .findFirst()
        .map(Region::failureDomains)
        .orElseGet(() -> List.of(new FailureDomainId(regionOrDomain)));
  }

  private static List<TrafficSplit> splitsOf(MoveRecord record, Deployment deployment) {
    List<FailureDomainId> targets = failureDomains(record.to(), deployment);
    Map<FailureDomainId, Double> fractions =
        targets.stream()
            .collect(Collectors.toMap(domain -> domain, domain -> record.split() / targets.size()));
    return failureDomains(record.from(), deployment).stream()
        .map(domain -> new TrafficSplit(record.service(), domain, fractions))
        .toList();
  }
}
