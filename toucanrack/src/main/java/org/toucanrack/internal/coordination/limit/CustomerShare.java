package org.toucanrack.internal.coordination.limit;

import java.util.List;
import org.toucanrack.id.Incarnation;

/**
 * What a VM knows about the shares of one customer. Immutable and thread-safe.
 *
 * @param tokensPerSecond rate of each share
 * @param burst burst of each share
 * @param owner whether this VM owns the share of its failure domain
 * @param givers owners of the other shares, in this failure domain first
 */
record CustomerShare(
    double tokensPerSecond, double burst, boolean owner, List<Incarnation> givers) {

  CustomerShare {
    givers = List.copyOf(givers);
  }
}
