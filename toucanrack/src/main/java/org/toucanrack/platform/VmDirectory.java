package org.toucanrack.platform;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.toucanrack.id.VmId;

/**
 * The platform's list of VMs. It lags, so it is a hint for discovery; a VM that was listed and is
 * gone has ended. Implementations are thread-safe.
 */
public interface VmDirectory {

  /** Reads the list. */
  CompletionStage<StoreAnswer<List<ListedVm>>> list();

  /**
   * One VM.
   *
   * @param vm its name
   * @param peerAddress {@code ip:port} for peers
   * @param leaving whether the platform has begun to stop it
   */
  record ListedVm(VmId vm, String peerAddress, boolean leaving) {}
}
