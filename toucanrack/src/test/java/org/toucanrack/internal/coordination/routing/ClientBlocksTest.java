package org.toucanrack.internal.coordination.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.toucanrack.id.FailureDomainId;

/** Guards against wrong longest-prefix matches and excessive memory at the target scale. */
class ClientBlocksTest {

  private static final int TARGET_BLOCKS = 830_000;
  private static final int TARGET_DOMAINS = 1000;
  private static final long MAX_TABLE_BYTES = 16L << 20;

  @Property(tries = 200)
  void findsTheLongestMatchingBlock(@ForAll long seed) {
    Random random = new Random(seed);
    List<ClientBlocks.Block> blocks = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      blocks.add(block(random.nextInt() & 0x0700_0000, random.nextInt(33), i));
      blocks.add(block(random.nextInt() & 0xF800_00FF, random.nextInt(33), i));
    }
    ClientBlocks table = new ClientBlocks(blocks);

    for (ClientBlocks.Block block : blocks) {
      for (int address : new int[] {block.address(), block.address() - 1, random.nextInt()}) {
        assertEquals(linearSearch(blocks, address), table.find(address));
      }
    }
  }

  @Test
  void holdsTheTargetNumberOfBlocksInFewMegabytes() {
    Random random = new Random(1);
    List<ClientBlocks.Block> blocks = new ArrayList<>();
    for (int i = 0; i < TARGET_BLOCKS; i++) {
      blocks.add(block(random.nextInt(), 14 + random.nextInt(11), i % TARGET_DOMAINS));
    }

    ClientBlocks table = new ClientBlocks(blocks);

    assertTrue(table.tableBytes() < MAX_TABLE_BYTES, table.tableBytes() + " bytes");
    assertEquals(linearSearch(blocks, 0x0A00_0001), table.find(0x0A00_0001));
  }

  private static ClientBlocks.Block block(int address, int length, int domain) {
    return new ClientBlocks.Block(address, length, List.of(new FailureDomainId("fd" + domain)));
  }

  private static Optional<List<FailureDomainId>> linearSearch(
      List<ClientBlocks.Block> blocks, int address) {
    ClientBlocks.Block best = null;
    for (ClientBlocks.Block block : blocks) {
      int mask = block.prefixLength() == 0 ? 0 : -1 << (32 - block.prefixLength());
      boolean longer = best == null || block.prefixLength() >= best.prefixLength();
      best = (address & mask) == block.address() && longer ? block : best;
    }
    return Optional.ofNullable(best).map(ClientBlocks.Block::domains);
  }
}
