package org.toucanrack.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.toucanrack.internal.configuration.ConfigurationCodec;
import org.toucanrack.internal.coordination.control.ControlAction;
import org.toucanrack.internal.coordination.control.ControlCore;
import org.toucanrack.internal.coordination.control.ControlEvent;
import org.toucanrack.internal.coordination.control.OperatorRecordDecoder;
import org.toucanrack.internal.coordination.control.ResourceDrainer;
import org.toucanrack.internal.coordination.lease.DomainRow;
import org.toucanrack.internal.coordination.lease.DomainRowCodec;
import org.toucanrack.platform.Row;
import org.toucanrack.platform.StoreAnswer;

/** Memory of one entry VM's control core with all domain rows, and CPU time per changed row. */
final class ControlCoreBenchmark implements ScalingBenchmark {

  private static final int FAILURE_DOMAINS = 47;
  private static final long BASE_GENERATION = 1_000;

  @Override
  public void measure(Scale scale, FigureRecorder figures) {
    for (int customers : new int[] {100, 500, 1_000}) {
      int size = scale.sizeFor(customers);
      Fleet fleet =
          new Fleet(FAILURE_DOMAINS, scale.sizeFor(64), 50, scale.sizeFor(1_000), size, 10);
      measure(figures.pointAt("control core", "customers", size), fleet);
    }
    for (int members : new int[] {16, 32, 64}) {
      Fleet fleet =
          new Fleet(FAILURE_DOMAINS, scale.sizeFor(members), 50, scale.sizeFor(1_000), 10, 10);
      measure(
          figures.pointAt("control core", "entry VMs", FAILURE_DOMAINS * scale.sizeFor(members)),
          fleet);
    }
  }

  private static void measure(FigureRecorder.Point point, Fleet fleet) {
    long nowNanos = System.nanoTime();
    point.measureRetainedHeap("all rows and their views", () -> coreWithAllRows(fleet, nowNanos));
    ControlCore core = coreWithAllRows(fleet, nowNanos);
    Row row = row(fleet, 1, 1);
    long[] version = {1};
    point.measureCpu(
        "take in one changed row",
        () ->
            core.handle(
                rowsListed(List.of(withNewGeneration(row, ++version[0])), nowNanos), nowNanos));
  }

  private static ControlCore coreWithAllRows(Fleet fleet, long nowNanos) {
    ControlCore core =
        new ControlCore(
            fleet.self(),
            List.of(),
            (version, body) -> ConfigurationCodec.decode(body),
            ResourceDrainer.NONE,
            OperatorRecordDecoder.NONE,
            nowNanos);
    List<Row> otherRows = new ArrayList<>();
    for (int i = 1; i < fleet.domains(); i++) {
      otherRows.add(row(fleet, i, 1));
    }
    Row ownRow = row(fleet, 0, 1);
    ControlAction.ReadRow readRow =
        new ControlAction.ReadRow(ownRow.key(), ControlAction.Purpose.ROW_REFRESH);
    core.handle(
        new ControlEvent.RowRead(readRow, nowNanos, new StoreAnswer.Done<>(Optional.of(ownRow))),
        nowNanos);
    core.handle(rowsListed(otherRows, nowNanos), nowNanos);
    return core;
  }

  private static ControlEvent rowsListed(List<Row> rows, long nowNanos) {
    return new ControlEvent.RowsListed(
        DomainRow.KEY_PREFIX, nowNanos, new StoreAnswer.Done<>(rows));
  }

  private static Row row(Fleet fleet, int domain, long version) {
    DomainRow row = fleet.row(domain);
    return new Row(DomainRow.key(row.failureDomain()), DomainRowCodec.encode(row), version);
  }

  /** Replaces the generation in the encoded row, which avoids measuring the encoder. */
  private static Row withNewGeneration(Row row, long version) {
    String generation = "\"generation\":" + (BASE_GENERATION + version);
    return new Row(
        row.key(), row.value().replaceFirst("\"generation\":[0-9]+", generation), version);
  }
}
