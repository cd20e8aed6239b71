package org.toucanrack.internal.coordination.limit;

import java.util.List;
import org.toucanrack.id.Incarnation;

/**
 * What a VM knows about the shares of one customer. Immutable and thread-safe.
 *
 * @param tokensPerSecond rate of each share
 * @param burst burst of each share
 * @param ownsShare whether this VM owns the share of its failure domain
 * @param lenders owners of the other shares, in this failure domain first
 */
record CustomerShare(
    double tokensPerSecond, double burst, boolean ownsShare, List<Incarnation> lenders) {

  CustomerShare {
    lenders = List.copyOf(lenders);
  }
}
