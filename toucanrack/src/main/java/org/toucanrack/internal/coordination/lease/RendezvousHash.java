package org.toucanrack.internal.coordination.lease;

import java.nio.charset.StandardCharsets;
import org.toucanrack.id.VmId;

/** Scores of VMs for resources, equal on all VMs and versions of Java. Stateless, thread-safe. */
final class RendezvousHash {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  static long score(ResourceId resource, VmId vm) {
    return mix(fold(fold(FNV_OFFSET, resource.value()) * FNV_PRIME, vm.value()));
  }

  private static long fold(long start, String text) {
    long hash = start;
    for (byte next : text.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (next & 0xff)) * FNV_PRIME;
    }
    return hash;
  }

  /** The finalizer of SplitMix64; FNV alone distributes the high bits of short texts poorly. */
  private static long mix(long value) {
    long mixed = value;
    mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return (mixed ^ (mixed >>> 31)) >>> 1;
  }
}
