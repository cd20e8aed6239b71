package org.toucanrack.internal.serve.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanrack.id.CustomerId;
import org.toucanrack.internal.coordination.steer.ColdStartLimiter;
import org.toucanrack.internal.coordination.steer.RateShares;

/**
 * What the traffic thread learns of the other VMs. Immutable and thread-safe.
 *
 * @param peers the other VMs that serve callers
 * @param ownDemand part of the requests of all regions that come from callers of the own region
 * @param otherServing number of the other VMs that may serve callers
 * @param claims what each VM claims of the customers' rates, if the shares are due to change
 */
record PeerUpdate(
    ColdStartLimiter.Peers peers,
    double ownDemandShare,
    int otherServingVms,
    Optional<Map<CustomerId, List<RateShares.Claim>>> claims) {}
