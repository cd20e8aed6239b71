package org.toucanrack.internal.transport.operator;

import java.util.List;

/**
 * What one VM reports to operators. Immutable and thread-safe.
 *
 * @param vm name of the VM
 * @param incarnation its run, in hexadecimal
 * @param failureDomain where it is
 * @param ready whether it takes traffic
 * @param configurationVersion adopted version, 0 for none
 * @param lease one sentence on its lease
 * @param keyProofAgeMillis age of the proof that its keys are fresh
 * @param cutOffServices services whose keyed routes go on without proof of fresh keys
 * @param members names of the VMs that it knows, with their failure domains
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
   * One known VM.
   *
   * @param vm its name
   * @param failureDomain where it is
   * @param draining whether it is stopping on plan
   */
  public record MemberLine(String vm, String failureDomain, boolean draining) {}

  /**
   * One service.
   *
   * @param service its name
   * @param ownedServers backend servers whose slots this VM owns
   * @param ownedSlots their slots
   * @param freeSlots slots that are free now
   */
  public record ServiceLine(String service, int ownedServers, int ownedSlots, int freeSlots) {}

  /**
   * One customer since the start of the VM.
   *
   * @param customer its name
   * @param answered requests that ran
   * @param refused requests that were refused, not run
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
