package org.toucanrack.internal.serve.entry;

import io.activej.reactor.nio.NioReactor;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.toucanrack.id.CustomerId;
import org.toucanrack.internal.coordination.steer.MemberTable;
import org.toucanrack.internal.coordination.steer.RateShares;
import org.toucanrack.steering.CustomerRule;
import org.toucanrack.steering.SteeringRules;

/**
 * Publishes the other VMs to the traffic thread, and determines when the rates are divided by their
 * claims. Confined to the control thread.
 */
final class PeerUpdates {

  /**
   * Interval of updates about the other VMs to the traffic thread; equals their heartbeat interval.
   */
  private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Time after the start of this VM in which the rates are divided again in short intervals.
   * Without them, a fleet that has started as a whole takes several seconds to divide the rates.
   */
  private static final long SETTLING_NANOS = TimeUnit.SECONDS.toNanos(4);

  /**
   * Interval of these divisions; several times the delay between two regions, so that each is based
   * on the claims of the one before.
   */
  private static final long SETTLING_DIVISION_INTERVAL_MS = 150;

  /** Part of a rate that may be free without another division in the short interval. */
  private static final double SETTLED_FREE_SHARE = 0.1;

  /**
   * Time after which the rates are divided among the VMs that are heard although the store has not
   * listed the members. A division among too few VMs claims the rates of the others.
   */
  private static final long MAX_LISTING_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Time after the start of this VM in which it waits for the answers of all listed members. */
  private static final long MAX_FIRST_HEARTBEAT_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  private final NioReactor reactor;
  private final MemberTable members;
  private final PeerView peerView;
  private final DecodedRows decodedRows;
  private final Supplier<Map<CustomerId, RateShares.Claim>> ownClaims;
  private final Consumer<PeerUpdate> consumer;
  private long startedNanos;
  private long publishedNanos;
  private long dividedNanos;
  private boolean membersListed;
  private boolean leaving;

  /**
   * Creates the updates.
   *
   * @param ownClaims returns this VM's claims that the traffic thread measured last
   */
  PeerUpdates(
      NioReactor reactor,
      MemberTable members,
      PeerView peerView,
      DecodedRows decodedRows,
      Supplier<Map<CustomerId, RateShares.Claim>> ownClaims,
      Consumer<PeerUpdate> consumer) {
    this.reactor = reactor;
    this.members = members;
    this.peerView = peerView;
    this.decodedRows = decodedRows;
    this.ownClaims = ownClaims;
    this.consumer = consumer;
  }

  /** Sets the time at which this VM started. */
  void setStarted(long nowNanos) {
    startedNanos = nowNanos;
  }

  void setMembersListed() {
    membersListed = true;
  }

  void setLeaving() {
    leaving = true;
  }

  /** Returns whether this VM started so recently that the rates may not be divided yet. */
  boolean isSettling(long nowNanos) {
    return nowNanos - startedNanos <= SETTLING_NANOS;
  }

  /** Divides the rates in short intervals while large parts of them are free after the start. */
  void settle() {
    long now = System.nanoTime();
    if (!isSettling(now)) {
      return;
    }
    if (peerView.selfServing() && hasFreeShares(now)) {
      publish(now, true);
    }
    reactor.delayBackground(SETTLING_DIVISION_INTERVAL_MS, this::settle);
  }

  /** Publishes an update if one is due. */
  void publishIfDue(long nowNanos) {
    if (nowNanos - publishedNanos >= INTERVAL_NANOS) {
      publishNow(nowNanos);
    } else if (isSettling(nowNanos)) {
      publish(nowNanos, false);
    }
  }

  /** Publishes an update, for use when callers are sent to this VM from now on. */
  void publishNow(long nowNanos) {
    publishedNanos = nowNanos;
    publish(nowNanos, isDivisionDue(nowNanos));
  }

  /** Publishes an update without dividing the rates. */
  void publishWithoutDivision(long nowNanos) {
    publish(nowNanos, false);
  }

  private boolean hasFreeShares(long nowNanos) {
    List<CustomerId> limited =
        decodedRows.rules().map(SteeringRules::customers).orElse(List.of()).stream()
            .filter(CustomerRule::isLimited)
            .map(CustomerRule::id)
            .toList();
    Map<CustomerId, List<RateShares.Claim>> claims = peerView.claims(limited, nowNanos);
    Map<CustomerId, RateShares.Claim> own = ownClaims.get();
    return limited.stream()
        .anyMatch(
            customer -> {
              double ownShare = own.containsKey(customer) ? own.get(customer).share() : 0;
              return ownShare
                      + claims.getOrDefault(customer, List.of()).stream()
                          .mapToDouble(RateShares.Claim::share)
                          .sum()
                  < 1 - SETTLED_FREE_SHARE;
            });
  }

  /** Returns whether the VMs that share the rates are known. */
  private boolean mayDivide(long nowNanos) {
    return membersListed
        || (members.size() > 0 && nowNanos - startedNanos > MAX_LISTING_WAIT_NANOS);
  }

  /** Returns whether the rates are to be divided again, which is once for each set of claims. */
  private boolean isDivisionDue(long nowNanos) {
    return nowNanos - dividedNanos
        >= HeartbeatSender.claimIntervalNanos(peerView.otherServingVms());
  }

  /**
   * Publishes the other VMs to the traffic thread.
   *
   * @param withDivision whether the rates are to be divided by the claims of the other VMs
   */
  private void publish(long nowNanos, boolean withDivision) {
    boolean divides = withDivision && mayDivide(nowNanos);
    dividedNanos = divides ? nowNanos : dividedNanos;
    List<CustomerId> customers =
        decodedRows.rules().map(SteeringRules::customers).orElse(List.of()).stream()
            .map(CustomerRule::id)
            .toList();
    consumer.accept(
        new PeerUpdate(
            peerView.peers(leaving, nowNanos),
            peerView.demandShares(),
            retrySharers(nowNanos),
            members.possiblyServingCount(),
            membersListed,
            divides ? Optional.of(peerView.claims(customers, nowNanos)) : Optional.empty()));
  }

  /**
   * Returns the number of VMs that share the retry reserve, or 0 if it is not known yet. All
   * members that are not cut off answer the first heartbeat soon; without the wait, the reserve
   * would be divided among VMs on standby for a moment after each start.
   */
  private int retrySharers(long nowNanos) {
    boolean awaitsMembers =
        members.isAnyUnheard(nowNanos) && nowNanos - startedNanos < MAX_FIRST_HEARTBEAT_WAIT_NANOS;
    return membersListed && !awaitsMembers ? peerView.retrySharers(leaving, nowNanos) : 0;
  }
}
