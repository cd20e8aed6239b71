package org.toucanrack.internal.transport.peer;

import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.protocol.generated.MemberInfo;
import org.toucanrack.internal.state.Member;

/** Converts members to and from protobuf. Stateless and thread-safe. */
public final class MemberInfoCodec {

  private MemberInfoCodec() {}

  /** Returns the member as a protobuf message. */
  public static MemberInfo encode(Member member) {
    return MemberInfo.newBuilder()
        .setVm(member.incarnation().vm().value())
        .setIncarnation(member.incarnation().number())
        .setFailureDomain(member.failureDomain().value())
        .setCallersAddress(member.callersAddress())
        .setPeersAddress(member.peersAddress())
        .setDraining(member.draining())
        .build();
  }

  /** Returns the member; throws if a name is invalid. */
  public static Member decode(MemberInfo info) {
    return new Member(
        new Incarnation(new VmId(info.getVm()), info.getIncarnation()),
        new FailureDomainId(info.getFailureDomain()),
        info.getCallersAddress(),
        info.getPeersAddress(),
        info.getDraining());
  }
}
