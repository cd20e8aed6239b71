package org.toucanrack.bench.capacity;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.coordination.routing.ClientBlocks;

/** Memory, build time and look-up time of the client-block table by number of blocks. */
final class ClientBlocksBenchmark implements ScalingBenchmark {

  private static final int FAILURE_DOMAINS = 47;
  private static final int SITE_COUNT = 1_000;
  private static final int DOMAINS_PER_SITE = 4;
  private static final int SHORTEST_PREFIX = 12;
  private static final int PREFIX_LENGTH_COUNT = 13;

  @Override
  public void measure(Scale scale, FigureRecorder figures) {
    for (int targetSize : new int[] {50_000, 200_000, 830_000}) {
      int size = scale.sizeFor(targetSize);
      FigureRecorder.Point point = figures.pointAt("client blocks", "blocks", size);
      List<ClientBlocks.Block> blocks = randomBlocks(size);
      point.addExact("table", "B", new ClientBlocks(blocks).tableBytes());
      point.measureRetainedHeap("table", () -> new ClientBlocks(blocks));
      point.measureCpu("build", () -> new ClientBlocks(blocks));
      ClientBlocks table = new ClientBlocks(blocks);
      Random random = new Random(2);
      point.measureCpu("find", () -> table.find(random.nextInt()));
    }
  }

  /** Returns random prefixes of /12 to /24, some of them nested and with gaps between them. */
  static List<ClientBlocks.Block> randomBlocks(int size) {
    Random random = new Random(1);
    List<List<FailureDomainId>> sites = randomSites(random);
    List<ClientBlocks.Block> blocks = new ArrayList<>(size);
    for (int i = 0; i < size; i++) {
      // Nine of ten prefixes are /24; short prefixes are rare in real address plans.
      int prefixLength = i % 10 == 0 ? SHORTEST_PREFIX + random.nextInt(PREFIX_LENGTH_COUNT) : 24;
      blocks.add(
          new ClientBlocks.Block(
              random.nextInt(), prefixLength, sites.get(random.nextInt(SITE_COUNT))));
    }
    return blocks;
  }

  private static List<List<FailureDomainId>> randomSites(Random random) {
    List<FailureDomainId> domains = new ArrayList<>();
    for (int i = 0; i < FAILURE_DOMAINS; i++) {
      domains.add(Fleet.domain(i));
    }
    List<List<FailureDomainId>> sites = new ArrayList<>();
    for (int i = 0; i < SITE_COUNT; i++) {
      Collections.shuffle(domains, random);
      sites.add(List.copyOf(domains.subList(0, DOMAINS_PER_SITE)));
    }
    return sites;
  }
}
