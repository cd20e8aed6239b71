package org.toucanrack.internal.serve;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.internal.coordination.control.SnapshotParts;
import org.toucanrack.internal.state.TrafficSplit;
import org.toucanrack.platform.Row;

/** Derives the parts of a snapshot that operators' records define. Thread-safe. */
final class OperatorParts implements SnapshotParts {

  private final Supplier<Optional<Deployment>> deployment;

  OperatorParts(Supplier<Optional<Deployment>> deployment) {
    this.deployment = deployment;
  }

  @Override
  public List<TrafficSplit> splits(List<Row> moves) {
    return deployment.get().map(current -> MoveSplits.of(moves, current)).orElse(List.of());
  }
}
