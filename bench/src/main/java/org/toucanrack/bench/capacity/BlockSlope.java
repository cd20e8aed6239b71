package org.toucanrack.bench.capacity;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.coordination.routing.ClientBlocks;

/** Memory, build time and look-ups of the client-block table against its blocks. */
final class BlockSlope implements Slope {

  private static final int DOMAINS = 47;
  private static final int SITES = 1_000;
  private static final int DOMAINS_IN_ORDER = 4;
  private static final int SHORTEST_PREFIX = 12;
  private static final int PREFIX_LENGTHS = 13;

  @Override
  public void measure(Scale scale, Figures figures) {
    for (int target : new int[] {50_000, 200_000, 830_000}) {
      int size = scale.of(target);
      Figures.At at = figures.at("client blocks", "blocks", size);
      List<ClientBlocks.Block> blocks = blocks(size);
      at.exact("table", "B", new ClientBlocks(blocks).tableBytes());
      at.retained("table", () -> new ClientBlocks(blocks));
      at.cpu("build", () -> new ClientBlocks(blocks));
      ClientBlocks table = new ClientBlocks(blocks);
      Random random = new Random(2);
      at.cpu("find", () -> table.find(random.nextInt()));
    }
  }

  /** Prefixes of /12 to /24 at random places, so that some nest and some gaps stay. */
  static List<ClientBlocks.Block> blocks(int size) {
    Random random = new Random(1);
    List<List<FailureDomainId>> sites = sites(random);
    List<ClientBlocks.Block> blocks = new ArrayList<>(size);
    for (int i = 0; i < size; i++) {
      // Nine of ten are /24, as in address plans: short prefixes are few.
      int length = i % 10 == 0 ? SHORTEST_PREFIX + random.nextInt(PREFIX_LENGTHS) : 24;
      blocks.add(
          new ClientBlocks.Block(random.nextInt(), length, sites.get(random.nextInt(SITES))));
    }
    return blocks;
  }

  private static List<List<FailureDomainId>> sites(Random random) {
    List<FailureDomainId> domains = new ArrayList<>();
    for (int i = 0; i < DOMAINS; i++) {
      domains.add(Fleet.domain(i));
    }
    List<List<FailureDomainId>> sites = new ArrayList<>();
    for (int i = 0; i < SITES; i++) {
      Collections.shuffle(domains, random);
      sites.add(List.copyOf(domains.subList(0, DOMAINS_IN_ORDER)));
    }
    return sites;
  }
}
