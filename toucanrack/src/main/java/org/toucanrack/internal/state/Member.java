package org.toucanrack.internal.state;

import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.Incarnation;

/**
 * A VM as its failure domain's row or a peer describes it. Immutable and thread-safe.
 *
 * @param incarnation the VM and its run
 * @param failureDomain where it is
 * @param callersAddress {@code ip:port} for callers
 * @param peersAddress {@code ip:port} for peers
 * @param draining whether it is stopping on plan
 */
public record Member(
    Incarnation incarnation,
    FailureDomainId failureDomain,
    String callersAddress,
    String peersAddress,
    boolean draining) {}
