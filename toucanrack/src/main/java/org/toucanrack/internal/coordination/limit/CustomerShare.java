package org.toucanrack.internal.coordination.limit;

import java.util.List;
import org.toucanrack.id.Incarnation;

/**
 * A VM's view of the shares of one customer's rate. Immutable and thread-safe.
 *
 * @param tokensPerSecond rate of each share, in tokens per second
 * @param burst burst of each share, in tokens
 * @param ownsShare whether this VM owns the share of its failure domain and may use it
 * @param lenders owners of the other shares, those of this failure domain first
 */
record CustomerShare(
    double tokensPerSecond, double burst, boolean ownsShare, List<Incarnation> lenders) {

  CustomerShare {
    lenders = List.copyOf(lenders);
  }
}
