package org.toucanrack.bench.capacity;

import java.nio.charset.StandardCharsets;
import org.toucanrack.internal.coordination.lease.DomainRow;
import org.toucanrack.internal.coordination.lease.DomainRowCodec;

/** Size, memory and CPU of domain rows against members and resources. */
final class DomainRowSlope implements Slope {

  private static final int DOMAINS = 47;
  private static final int MEMBERS = 64;
  private static final int SERVERS = 1_000;
  private static final int CUSTOMERS = 1_000;

  @Override
  public void measure(Scale scale, Figures figures) {
    for (int members : new int[] {16, 32, 64}) {
      measure(figures.at("domain row", "members", members), members, scale.of(CUSTOMERS), scale);
    }
    for (int customers : new int[] {10, 250, 1_000, 4_000}) {
      int size = scale.of(customers);
      measure(figures.at("domain row", "customers", size), MEMBERS, size, scale);
    }
  }

  private static void measure(Figures.At at, int members, int customers, Scale scale) {
    DomainRow row = new Fleet(DOMAINS, members, 1, scale.of(SERVERS), customers, 1).row(0);
    String text = DomainRowCodec.encode(row);
    at.exact("row", "B", text.getBytes(StandardCharsets.UTF_8).length);
    at.cpu("encode", () -> DomainRowCodec.encode(row));
    at.cpu("decode", () -> DomainRowCodec.decode(text));
    at.retained("decoded", () -> DomainRowCodec.decode(text));
  }
}
