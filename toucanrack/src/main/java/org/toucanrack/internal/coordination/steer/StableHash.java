package org.toucanrack.internal.coordination.steer;

import java.nio.charset.StandardCharsets;

/** Hashes and rendezvous scores that are equal on all VMs. Stateless and thread-safe. */
public final class StableHash {

  /** Offset basis of the 64-bit FNV-1a hash. */
  public static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

  /** Prime of the 64-bit FNV-1a hash. */
  public static final long FNV_PRIME = 0x100000001b3L;

  private StableHash() {}

  /** Returns the hash of a text, with all bits well distributed. */
  public static long hash(String text) {
    return mix(fold(FNV_OFFSET_BASIS, text));
  }

  /** Continues an FNV-1a hash with a text. */
  public static long fold(long start, String text) {
    long hash = start;
    for (byte next : text.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (next & 0xff)) * FNV_PRIME;
    }
    return hash;
  }

  /** Returns the non-negative rendezvous score of a pair. */
  static long score(long first, long second) {
    return mix(first * 31 + second) >>> 1;
  }

  /**
   * Applies the finalizer of SplitMix64, since FNV-1a alone distributes the high bits of short
   * texts poorly.
   */
  public static long mix(long value) {
    long mixed = value;
    mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
