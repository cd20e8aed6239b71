package org.toucanrack.internal.serve;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.configuration.ServiceVersion;
import org.toucanrack.internal.coordination.control.OperatorRecordDecoder;
import org.toucanrack.internal.coordination.rollout.RolloutRecord;
import org.toucanrack.internal.state.TrafficSplit;
import org.toucanrack.internal.state.VersionShare;
import org.toucanrack.platform.Row;

/**
 * Decodes operators' records of moves and rollouts against the current deployment; returns nothing
 * before a configuration is adopted. Thread-safe.
 */
final class DeploymentRecordDecoder implements OperatorRecordDecoder {

  private final Supplier<Optional<Deployment>> deployment;

  DeploymentRecordDecoder(Supplier<Optional<Deployment>> deployment) {
    this.deployment = deployment;
  }

  @Override
  public List<TrafficSplit> splits(List<Row> moves) {
    return deployment.get().map(current -> MoveSplits.of(moves, current)).orElse(List.of());
  }

  @Override
  public List<VersionShare> versionShares(List<Row> rollouts) {
    return deployment.get().map(current -> versionSharesOf(rollouts, current)).orElse(List.of());
  }

  /** Ignores records of versions that are not declared now or were declared anew. */
  private static List<VersionShare> versionSharesOf(List<Row> rows, Deployment deployment) {
    return rows.stream()
        .map(row -> RolloutRecord.fromJson(row.value()))
        .filter(record -> isDeclared(record, deployment))
        .map(record -> new VersionShare(record.service(), record.version(), record.share()))
        .toList();
  }

  private static boolean isDeclared(RolloutRecord record, Deployment deployment) {
    return deployment.versions().stream()
        .filter(ServiceVersion::isCandidate)
        .anyMatch(
            version ->
                version.service().equals(record.service())
                    && version.id().equals(record.version())
                    && version.declaration() == record.declaration());
  }
}
