package org.toucanrack.steering;

/** The tables of the platform's store that VMs follow. */
public enum SharedTable {
  /** What operators ask for: rules, rollouts, evacuations. */
  ORDERS,
  /** The announcements of backend servers. */
  SERVERS,
  /** What this system reports to operators. */
  REPORTS,
  /** The entry VMs of this system. */
  MEMBERS
}
