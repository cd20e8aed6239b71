package org.toucanrack.internal.state;

import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.Incarnation;

/**
 * Description of a VM, from its failure domain's row or from a peer. Immutable and thread-safe.
 *
 * @param incarnation VM and incarnation number
 * @param failureDomain failure domain of the VM
 * @param callersAddress {@code ip:port} for callers
 * @param peersAddress {@code ip:port} for peers
 * @param draining whether the VM performs a planned stop
 */
public record Member(
    Incarnation incarnation,
    FailureDomainId failureDomain,
    String callersAddress,
    String peersAddress,
    boolean draining) {}
