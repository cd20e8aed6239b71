package org.toucanrack.internal.transport.operator;

import java.util.List;

/**
 * Status that one VM reports to operators. Immutable and thread-safe.
 *
 * @param vm name of the VM
 * @param incarnation incarnation number of the VM, in hexadecimal
 * @param failureDomain failure domain of the VM
 * @param ready whether the VM accepts traffic
 * @param configurationVersion adopted version, 0 for none
 * @param lease one sentence that describes the state of the lease
 * @param keyProofAgeMillis age of the newest proof that the VM's keys are fresh
 * @param cutOffServices services whose keyed routes are still served without proof of fresh keys
 * @param members all known VMs
 * @param services load of each service on this VM
 * @param customers requests of each customer on this VM
 */
public record VmStatus(
    String vm,
    String incarnation,
    String failureDomain,
    boolean ready,
    long configurationVersion,
    String lease,
    long keyProofAgeMillis,
    List<String> cutOffServices,
    List<MemberLine> members,
    List<ServiceLine> services,
    List<CustomerLine> customers) {

  /** Copies the lists. */
  public VmStatus {
    cutOffServices = List.copyOf(cutOffServices);
    members = List.copyOf(members);
    services = List.copyOf(services);
    customers = List.copyOf(customers);
  }

  /**
   * Describes one known VM.
   *
   * @param vm name of the VM
   * @param failureDomain failure domain of the VM
   * @param draining whether the VM performs a planned stop
   */
  public record MemberLine(String vm, String failureDomain, boolean draining) {}

  /**
   * Reports the load of one service.
   *
   * @param service name of the service
   * @param ownedServers backend servers whose slots this VM owns
   * @param ownedSlots slots of these backend servers
   * @param freeSlots slots that are currently free
   */
  public record ServiceLine(String service, int ownedServers, int ownedSlots, int freeSlots) {}

  /**
   * Reports the requests of one customer since the start of the VM.
   *
   * @param customer name of the customer
   * @param answered requests that ran
   * @param refused requests that were refused and did not run
   * @param unknown requests that may have run
   * @param p50Millis median latency
   * @param p99Millis 99th percentile of the latency
   */
  public record CustomerLine(
      String customer,
      long answered,
      long refused,
      long unknown,
      double p50Millis,
      double p99Millis) {}
}
