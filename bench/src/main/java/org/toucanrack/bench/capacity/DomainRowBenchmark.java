package org.toucanrack.bench.capacity;

import java.nio.charset.StandardCharsets;
import org.toucanrack.internal.coordination.lease.DomainRow;
import org.toucanrack.internal.coordination.lease.DomainRowCodec;

/** Size, memory and CPU time of domain rows by number of members and resources. */
final class DomainRowBenchmark implements ScalingBenchmark {

  private static final int FAILURE_DOMAINS = 47;
  private static final int MEMBERS_PER_DOMAIN = 64;
  private static final int BACKEND_SERVERS = 1_000;
  private static final int CUSTOMERS = 1_000;

  @Override
  public void measure(Scale scale, FigureRecorder figures) {
    for (int members : new int[] {16, 32, 64}) {
      measure(
          figures.pointAt("domain row", "members", members),
          members,
          scale.sizeFor(CUSTOMERS),
          scale);
    }
    for (int customers : new int[] {10, 250, 1_000, 4_000}) {
      int size = scale.sizeFor(customers);
      measure(figures.pointAt("domain row", "customers", size), MEMBERS_PER_DOMAIN, size, scale);
    }
  }

  private static void measure(FigureRecorder.Point point, int members, int customers, Scale scale) {
    DomainRow row =
        new Fleet(FAILURE_DOMAINS, members, 1, scale.sizeFor(BACKEND_SERVERS), customers, 1).row(0);
    String encodedRow = DomainRowCodec.encode(row);
    point.addExact("row", "B", encodedRow.getBytes(StandardCharsets.UTF_8).length);
    point.measureCpu("encode", () -> DomainRowCodec.encode(row));
    point.measureCpu("decode", () -> DomainRowCodec.decode(encodedRow));
    point.measureRetainedHeap("decoded", () -> DomainRowCodec.decode(encodedRow));
  }
}
