package org.toucanrack.internal.coordination.lease;

import org.toucanrack.id.VmId;
import org.toucanrack.internal.coordination.steer.Spread;

/**
 * Rendezvous hash scores of VMs for resources, identical on all VMs and versions of Java. Stateless
 * and thread-safe.
 */
final class RendezvousHash {

  private RendezvousHash() {}

  static long score(ResourceId resource, VmId vm) {
    long hash = Spread.fold(Spread.FNV_OFFSET, resource.value()) * Spread.FNV_PRIME;
    return Spread.mix(Spread.fold(hash, vm.value())) >>> 1;
  }
}
