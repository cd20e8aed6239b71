package org.toucanrack.internal.serve.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.coordination.steer.ClaimCodec;
import org.toucanrack.internal.coordination.steer.LenderOrder;
import org.toucanrack.internal.coordination.steer.MemberTable;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;
import org.toucanrack.steering.CustomerRule;
import org.toucanrack.steering.EntrySettings;

/**
 * Finds the VMs that are asked to lend a token, from the membership. Confined to the control
 * thread.
 */
final class TokenLenders {

  private final EntrySettings settings;
  private final MemberTable members;
  private final RandomGenerator random;

  TokenLenders(EntrySettings settings, MemberTable members, RandomGenerator random) {
    this.settings = settings;
    this.members = members;
    this.random = random;
  }

  /** Returns the addresses of the serving VMs in the order in which they are asked. */
  List<InetSocketAddress> lenders(CustomerRule customer, long nowNanos) {
    List<LenderOrder.Lender<InetSocketAddress>> lenders = new ArrayList<>();
    for (EntryHeartbeat member : members.aliveMembers(nowNanos)) {
      if (member.getServing()) {
        lenders.add(
            new LenderOrder.Lender<>(
                PeerAddresses.parse(member.getPeersAddress()),
                settings
                    .region()
                    .equals(settings.regions().get(new FailureDomainId(member.getFailureDomain()))),
                ClaimCodec.decode(member.getClaimsList(), true, customer.id())));
      }
    }
    return LenderOrder.order(lenders, customer.requestsPerSecond(), random);
  }
}
