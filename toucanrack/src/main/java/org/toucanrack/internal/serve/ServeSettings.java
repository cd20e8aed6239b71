package org.toucanrack.internal.serve;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.VmId;

/**
 * Validated settings of an entry VM. Immutable and thread-safe.
 *
 * @param vm name of this VM
 * @param failureDomain failure domain of this VM
 * @param region region of the failure domain
 * @param callersListen address on which the VM listens for callers
 * @param operatorsListen address on which the VM listens for operators
 * @param peersListen address on which the VM listens for other VMs
 * @param callersAdvertise address that look-up answers return to callers
 * @param peersAdvertise address that is advertised to other VMs
 * @param platformAddresses addresses of the platform, at least one, tried in order
 * @param seedPeers peer addresses of other VMs that are contacted at startup
 * @param trafficThreads number of traffic threads, at least 1
 * @param logFormat format of log lines
 * @param peerSecret secret that all VMs share
 * @param operatorToken bearer token for status requests on the operators' port; empty means that
 *     none is required
 */
public record ServeSettings(
    VmId vm,
    FailureDomainId failureDomain,
    RegionId region,
    InetSocketAddress callersListen,
    InetSocketAddress operatorsListen,
    InetSocketAddress peersListen,
    InetSocketAddress callersAdvertise,
    InetSocketAddress peersAdvertise,
    List<URI> platformAddresses,
    List<InetSocketAddress> seedPeers,
    int trafficThreads,
    LogFormat logFormat,
    String peerSecret,
    Optional<String> operatorToken) {

  /** Copies the lists. */
  public ServeSettings {
    platformAddresses = List.copyOf(platformAddresses);
    seedPeers = List.copyOf(seedPeers);
  }

  /** Format of log lines. */
  public enum LogFormat {
    PLAIN,
    JSON
  }

  /** Leaves out the secrets. */
  @Override
  public String toString() {
    return "ServeSettings[vm=%s, failureDomain=%s, region=%s, callers=%s, operators=%s, peers=%s]"
        .formatted(vm, failureDomain, region, callersListen, operatorsListen, peersListen);
  }
}
