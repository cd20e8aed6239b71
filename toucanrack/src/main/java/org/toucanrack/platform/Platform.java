package org.toucanrack.platform;

/** The services of the platform. Implementations are thread-safe. */
public interface Platform extends AutoCloseable {

  /** Returns the table service. */
  TableService tables();

  /** Returns the object store. */
  ObjectStore objects();

  /** Returns the list of VMs. */
  VmDirectory vms();

  @Override
  void close();
}
