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

/** The control core of one entry VM: memory of all domain rows, CPU for a changed one. */
final class ControlSlope implements Slope {

  private static final int DOMAINS = 47;
  private static final long GENERATION = 1_000;

  @Override
  public void measure(Scale scale, Figures figures) {
    for (int customers : new int[] {100, 500, 1_000}) {
      int size = scale.of(customers);
      Fleet fleet = new Fleet(DOMAINS, scale.of(64), 50, scale.of(1_000), size, 10);
      measure(figures.at("control core", "customers", size), fleet);
    }
    for (int members : new int[] {16, 32, 64}) {
      Fleet fleet = new Fleet(DOMAINS, scale.of(members), 50, scale.of(1_000), 10, 10);
      measure(figures.at("control core", "entry VMs", DOMAINS * scale.of(members)), fleet);
    }
  }

  private static void measure(Figures.At at, Fleet fleet) {
    long now = System.nanoTime();
    at.retained("all rows and their views", () -> informed(fleet, now));
    ControlCore core = informed(fleet, now);
    Row row = row(fleet, 1, 1);
    long[] version = {1};
    at.cpu(
        "take in one changed row",
        () -> core.handle(listed(List.of(changed(row, ++version[0])), now), now));
  }

  private static ControlCore informed(Fleet fleet, long now) {
    ControlCore core =
        new ControlCore(
            fleet.self(),
            List.of(),
            (version, body) -> ConfigurationCodec.decode(body),
            ResourceDrainer.NONE,
            OperatorRecordDecoder.NONE,
            now);
    List<Row> others = new ArrayList<>();
    for (int i = 1; i < fleet.domains(); i++) {
      others.add(row(fleet, i, 1));
    }
    Row own = row(fleet, 0, 1);
    ControlAction.ReadRow read =
        new ControlAction.ReadRow(own.key(), ControlAction.Purpose.ROW_REFRESH);
    core.handle(new ControlEvent.RowRead(read, now, new StoreAnswer.Done<>(Optional.of(own))), now);
    core.handle(listed(others, now), now);
    return core;
  }

  private static ControlEvent listed(List<Row> rows, long now) {
    return new ControlEvent.RowsListed(DomainRow.KEY_PREFIX, now, new StoreAnswer.Done<>(rows));
  }

  private static Row row(Fleet fleet, int domain, long version) {
    DomainRow row = fleet.row(domain);
    return new Row(DomainRow.key(row.failureDomain()), DomainRowCodec.encode(row), version);
  }

  /** Gives the row another generation without the cost of encoding it. */
  private static Row changed(Row row, long version) {
    String generation = "\"generation\":" + (GENERATION + version);
    return new Row(
        row.key(), row.value().replaceFirst("\"generation\":[0-9]+", generation), version);
  }
}
