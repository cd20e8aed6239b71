package org.toucanrack.internal.serve;

import java.util.List;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.state.ControlSnapshot;

/** Lists the backend servers that this VM owns. Stateless and thread-safe. */
final class OwnedServers {

  private OwnedServers() {}

  static List<BackendServer> of(ControlSnapshot snapshot) {
    Incarnation self = snapshot.self().incarnation();
    return snapshot.configuration().stream()
        .flatMap(configuration -> configuration.deployment().backendServers().stream())
        .filter(
            server -> snapshot.ownership().ownerOf(server.id()).filter(self::equals).isPresent())
        .toList();
  }
}
