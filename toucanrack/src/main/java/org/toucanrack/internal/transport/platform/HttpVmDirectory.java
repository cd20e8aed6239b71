package org.toucanrack.internal.transport.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.toucanrack.id.VmId;
import org.toucanrack.platform.StoreAnswer;
import org.toucanrack.platform.VmDirectory;

/** Reads the platform's list of VMs over HTTP. Thread-safe. */
final class HttpVmDirectory implements VmDirectory {

  private final PlatformCalls calls;

  HttpVmDirectory(PlatformCalls calls) {
    this.calls = calls;
  }

  @Override
  public CompletionStage<StoreAnswer<List<ListedVm>>> list() {
    return calls.get("/vms", HttpVmDirectory::decode);
  }

  private static List<ListedVm> decode(int status, byte[] body) throws IOException {
    List<ListedVm> vms = new ArrayList<>();
    for (JsonNode node :
        PlatformCalls.requiredField(PlatformCalls.parseObject(status, body), "vms")) {
      vms.add(
          new ListedVm(
              new VmId(PlatformCalls.requiredField(node, "vm").asText()),
              PlatformCalls.requiredField(node, "peerAddress").asText(),
              PlatformCalls.requiredField(node, "leaving").asBoolean()));
    }
    return List.copyOf(vms);
  }
}
