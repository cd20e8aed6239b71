package org.toucanrack.internal.coordination.lease;

import org.toucanrack.id.VmId;
import org.toucanrack.internal.coordination.steer.StableHash;

/**
 * Rendezvous hash scores of VMs for resources, identical on all VMs and versions of Java. Stateless
 * and thread-safe.
 */
final class RendezvousHash {

  private RendezvousHash() {}

  static long score(ResourceId resource, VmId vm) {
    long hash =
        StableHash.fold(StableHash.FNV_OFFSET_BASIS, resource.value()) * StableHash.FNV_PRIME;
    return StableHash.mix(StableHash.fold(hash, vm.value())) >>> 1;
  }
}
