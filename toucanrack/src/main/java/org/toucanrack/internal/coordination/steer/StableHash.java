package org.toucanrack.internal.coordination.steer;

import java.nio.charset.StandardCharsets;

/** Rendezvous scores, equal on all VMs. Stateless and thread-safe. */
public final class StableHash {

  /** Start of a hash over text. */
  public static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

  /** Factor of a hash over text. */
  public static final long FNV_PRIME = 0x100000001b3L;

  private StableHash() {}

  /** Returns the hash of a text. */
  public static long hash(String text) {
    return mix(fold(FNV_OFFSET_BASIS, text));
  }

  /** Continues a hash with a text. */
  public static long fold(long start, String text) {
    long hash = start;
    for (byte next : text.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (next & 0xff)) * FNV_PRIME;
    }
    return hash;
  }

  /** Returns the non-negative score of a pair. */
  static long score(long first, long second) {
    return mix(first * 31 + second) >>> 1;
  }

  /** The finalizer of SplitMix64; FNV alone distributes the high bits of short texts poorly. */
  public static long mix(long value) {
    long mixed = value;
    mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
