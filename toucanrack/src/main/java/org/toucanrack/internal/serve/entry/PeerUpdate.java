package org.toucanrack.internal.serve.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanrack.id.CustomerId;
import org.toucanrack.internal.coordination.placement.DemandShares;
import org.toucanrack.internal.coordination.steer.ColdStartLimiter;
import org.toucanrack.internal.coordination.steer.RateShares;

/**
 * State of the other VMs for the traffic thread. Immutable and thread-safe.
 *
 * @param peers the other VMs that serve callers
 * @param demandShares the part of the demand that comes from callers near this VM
 * @param retrySharers number of VMs that share the retry reserve, including this one; 0 if this VM
 *     may not use it
 * @param otherServingVms number of the other VMs that may serve callers
 * @param membersListed whether the store has listed the other VMs to this one
 * @param claims each VM's claims of the customers' rates, present only if the shares are to be
 *     rebalanced
 */
record PeerUpdate(
    ColdStartLimiter.Peers peers,
    DemandShares demandShares,
    int retrySharers,
    int otherServingVms,
    boolean membersListed,
    Optional<Map<CustomerId, List<RateShares.Claim>>> claims) {}
