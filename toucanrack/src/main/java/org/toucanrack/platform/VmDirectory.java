package org.toucanrack.platform;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.toucanrack.id.VmId;

/**
 * The platform's list of VMs. The list lags behind, so it is only a hint for discovery; but a VM
 * that is no longer listed has ended. Implementations are thread-safe.
 */
public interface VmDirectory {

  /** Reads the list. */
  CompletionStage<StoreAnswer<List<ListedVm>>> list();

  /**
   * A VM in the list.
   *
   * @param vm its name
   * @param peerAddress the address for connections of peers, as {@code ip:port}
   * @param leaving whether the platform is stopping it
   */
  record ListedVm(VmId vm, String peerAddress, boolean leaving) {}
}
