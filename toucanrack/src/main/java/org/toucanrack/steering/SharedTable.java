package org.toucanrack.steering;

/** The tables of the platform's store that VMs follow. */
public enum SharedTable {
  /** The orders of operators: rules, rollouts, evacuations. */
  ORDERS,
  /** The announcements of backend servers. */
  SERVERS,
  /** The reports of this system to operators. */
  REPORTS,
  /** The entry VMs of this system. */
  MEMBERS,
  /** The VMs that hold duties for the whole system, such as usage reports. */
  DUTIES
}
