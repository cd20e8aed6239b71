package org.toucanrack.internal.coordination.steer;

/**
 * How VMs treat customers whose rate gives each of them a token or two at a time.
 *
 * <p>The load pattern is many customers that send less than one request per second to each VM, some
 * of them several at once on a pipelined connection: the tokens of the VM that receives them are
 * used up while the other VMs have most of the rate left. Immutable.
 *
 * @param minCapacityTokens tokens that a bucket holds at least. The limit of the window holds in
 *     any case; a smaller bucket loses what is added while its tokens wait for requests. A larger
 *     one adds to what two VMs may send when a share moves between them
 * @param waitsByTotalDemand whether requests may wait for a token while the demand of all VMs
 *     together is within the rate, even if this VM's demand is above its share
 * @param maxWaitingRequests requests of a customer that may wait for loans at a time
 * @param requestsAgain whether a request that has got no loan and may still wait asks for one again
 * @param keepsLateLoans whether a loan for which no request waits is kept for the next request
 */
public record SmallRatePolicy(
    double minCapacityTokens,
    boolean waitsByTotalDemand,
    int maxWaitingRequests,
    boolean requestsAgain,
    boolean keepsLateLoans) {

  /** The policy of production. docs/design/rate-shares.md has the figures behind it. */
  public static final SmallRatePolicy CURRENT = new SmallRatePolicy(4, true, 16, true, true);
}
