package org.toucanrack.internal.coordination.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanrack.id.FailureDomainId;

/**
 * Maps IPv4 addresses of clients to failure domains in order of preference, by longest-prefix
 * match.
 *
 * <p>Blocks nest or are disjoint, so they are flattened once into sorted ranges: six bytes for each
 * range, at most two ranges for each block. Immutable and thread-safe.
 */
public final class ClientBlocks {

  private static final int ADDRESS_BITS = 32;
  private static final char NO_ORDER = Character.MAX_VALUE;

  private final int[] starts;
  private final char[] orders;
  private final List<List<FailureDomainId>> distinctOrders;

  /**
   * A block of client addresses. Immutable and thread-safe.
   *
   * @param address the first address, as an unsigned number
   * @param prefixLength 0 to 32
   * @param domains failure domains in order of preference
   */
  public record Block(int address, int prefixLength, List<FailureDomainId> domains) {

    /** Rejects prefix lengths out of range and clears the bits after the prefix. */
    public Block {
      if (prefixLength < 0 || prefixLength > ADDRESS_BITS) {
        throw new IllegalArgumentException("prefix length must be 0 to 32, was " + prefixLength);
      }
      address &= mask(prefixLength);
    }

    private long first() {
      return Integer.toUnsignedLong(address);
    }

    private long end() {
      return first() + (1L << (ADDRESS_BITS - prefixLength));
    }

    private static int mask(int prefixLength) {
      return prefixLength == 0 ? 0 : -1 << (ADDRESS_BITS - prefixLength);
    }
  }

  /** Builds the table; of equal blocks the last one applies. */
  public ClientBlocks(List<Block> blocks) {
    Map<List<FailureDomainId>, Character> orderIndexes = new HashMap<>();
    distinctOrders = new ArrayList<>();
    Ranges ranges = new Ranges(blocks.size() * 2 + 1);
    ArrayDeque<Block> openBlocks = new ArrayDeque<>();
    ranges.add(0, NO_ORDER);
    for (Block block : sorted(blocks)) {
      closeBefore(block.first(), openBlocks, ranges, orderIndexes);
      openBlocks.push(block);
      ranges.add(block.first(), orderIndex(block, orderIndexes));
    }
    closeBefore(1L << ADDRESS_BITS, openBlocks, ranges, orderIndexes);
    starts = ranges.starts();
    orders = ranges.orders();
  }

  /** Returns the failure domains for a client address in order of preference. */
  public Optional<List<FailureDomainId>> find(int address) {
    int low = 0;
    int high = starts.length - 1;
    while (low < high) {
      int middle = (low + high + 1) >>> 1;
      if (Integer.compareUnsigned(starts[middle], address) <= 0) {
        low = middle;
      } else {
        high = middle - 1;
      }
    }
    char order = orders[low];
    return order == NO_ORDER ? Optional.empty() : Optional.of(distinctOrders.get(order));
  }

  /** Returns the size of the arrays that hold the table, in bytes. */
  public long tableBytes() {
    return (long) starts.length * (Integer.BYTES + Character.BYTES);
  }

  private static List<Block> sorted(List<Block> blocks) {
    List<Block> sorted = new ArrayList<>(blocks);
    sorted.sort(Comparator.comparingLong(Block::first).thenComparingInt(Block::prefixLength));
    return sorted;
  }

  /**
   * Closes the open blocks that end at or before an address; after each end the enclosing block
   * applies again.
   */
  private void closeBefore(
      long address,
      ArrayDeque<Block> openBlocks,
      Ranges ranges,
      Map<List<FailureDomainId>, Character> orderIndexes) {
    while (!openBlocks.isEmpty() && openBlocks.peek().end() <= address) {
      long end = openBlocks.pop().end();
      if (end < 1L << ADDRESS_BITS) {
        ranges.add(
            end, openBlocks.isEmpty() ? NO_ORDER : orderIndex(openBlocks.peek(), orderIndexes));
      }
    }
  }

  private char orderIndex(Block block, Map<List<FailureDomainId>, Character> orderIndexes) {
    return orderIndexes.computeIfAbsent(
        block.domains(),
        domains -> {
          if (distinctOrders.size() >= NO_ORDER) {
            throw new IllegalArgumentException("too many different orders of failure domains");
          }
          distinctOrders.add(List.copyOf(domains));
          return (char) (distinctOrders.size() - 1);
        });
  }

  /** Collects ranges in ascending order; a range that starts where the last did replaces it. */
  private static final class Ranges {

    private final int[] starts;
    private final char[] orders;
    private int size;

    Ranges(int capacity) {
      starts = new int[capacity];
      orders = new char[capacity];
    }

    void add(long start, char order) {
      if (size > 0 && starts[size - 1] == (int) start) {
        size--;
      }
      starts[size] = (int) start;
      orders[size++] = order;
    }

    int[] starts() {
      return Arrays.copyOf(starts, size);
    }

    char[] orders() {
      return Arrays.copyOf(orders, size);
    }
  }
}
