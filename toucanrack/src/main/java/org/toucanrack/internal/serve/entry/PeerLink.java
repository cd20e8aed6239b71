package org.toucanrack.internal.serve.entry;

import com.google.protobuf.InvalidProtocolBufferException;
import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.generated.DutyRow;
import org.toucanrack.internal.protocol.generated.EntryDatagram;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;
import org.toucanrack.internal.protocol.generated.TokenAsk;
import org.toucanrack.internal.protocol.generated.TokenLoan;
import org.toucanrack.internal.protocol.generated.UsageCounts;
import org.toucanrack.internal.transport.relay.DatagramLink;
import org.toucanrack.steering.EntrySettings;

/** Exchanges datagrams with the other VMs. Confined to the control thread. */
final class PeerLink {

  /** Addresses whose distance is kept; more than a fleet has VMs. */
  private static final int MAX_DISTANCES = 8192;

  private final EntrySettings settings;
  private final DatagramLink link;
  private final Receiver receiver;
  private final TrafficBytes bytes;
  private final Map<InetSocketAddress, TrafficDistance> distances =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<InetSocketAddress, TrafficDistance> eldest) {
          return size() > MAX_DISTANCES;
        }
      };
  private final DecisionLog log;

  /** Receives the bodies of datagrams. */
  interface Receiver {

    void heartbeatReceived(EntryHeartbeat heartbeat);

    /** Called with a heartbeat without the fields that never change while its sender runs. */
    void shortHeartbeatReceived(EntryHeartbeat heartbeat, InetSocketAddress sender);

    void loanRequested(TokenAsk ask, InetSocketAddress sender);

    void loanReceived(TokenLoan loan);

    void countsReceived(UsageCounts counts);

    void dutyRowReceived(DutyRow row);
  }

  /** Binds the address and starts receiving. */
  PeerLink(
      NioReactor reactor,
      EntrySettings settings,
      Receiver receiver,
      TrafficBytes bytes,
      DecisionLog log) {
    this.settings = settings;
    this.receiver = receiver;
    this.bytes = bytes;
    this.log = log;
    this.link =
        DatagramLink.open(
            reactor,
            settings.endpoints().peers(),
            this::received,
            fault -> log.event("datagram-failed", "reason", fault.getMessage()));
  }

  void send(TrafficBytes.Purpose purpose, byte[] datagram, InetSocketAddress target) {
    bytes.count(purpose, distance(target), datagram.length);
    link.send(datagram, target);
  }

  /** Records the failure domain of a VM that sent a heartbeat. */
  void setDomain(InetSocketAddress address, String domain) {
    distances.put(address, TrafficDistance.to(new FailureDomainId(domain), settings));
  }

  /** Returns the distance of a VM; unknown until its first heartbeat. */
  TrafficDistance distance(InetSocketAddress address) {
    return distances.getOrDefault(address, TrafficDistance.UNKNOWN);
  }

  void close() {
    link.close();
  }

  private void received(byte[] received, InetSocketAddress sender) {
    try {
      EntryDatagram datagram = EntryDatagram.parseFrom(received);
      switch (datagram.getBodyCase()) {
        case HEARTBEAT -> receiver.heartbeatReceived(datagram.getHeartbeat());
        case SHORT_HEARTBEAT ->
            receiver.shortHeartbeatReceived(datagram.getShortHeartbeat(), sender);
        case TOKEN_ASK -> receiver.loanRequested(datagram.getTokenAsk(), sender);
        case TOKEN_LOAN -> receiver.loanReceived(datagram.getTokenLoan());
        case USAGE_COUNTS -> receiver.countsReceived(datagram.getUsageCounts());
        case DUTY_ROW -> receiver.dutyRowReceived(datagram.getDutyRow());
        default -> log.event("datagram-unknown", "sender", sender);
      }
    } catch (InvalidProtocolBufferException | RuntimeException e) {
      log.event("datagram-unreadable", "sender", sender, "reason", e.getMessage());
    }
  }
}
