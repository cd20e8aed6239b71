package org.toucanrack.internal.serve;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.VmId;

/**
 * All settings of an entry VM, checked. Immutable and thread-safe.
 *
 * @param vm name of this VM
 * @param failureDomain where it is
 * @param region where its failure domain is
 * @param callersListen address for callers
 * @param operatorsListen address for operators
 * @param peersListen address for other VMs
 * @param callersAdvertise address that look-up answers give to callers
 * @param peersAdvertise address that other VMs are told
 * @param platformAddresses addresses of the platform, at least one, tried in order
 * @param seedPeers peer addresses of other VMs to start with
 * @param trafficThreads threads for traffic, at least 1
 * @param logFormat format of log lines
 * @param peerSecret secret that all VMs share
 * @param operatorToken token for changes over the operators' port; empty forbids them
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
