package org.toucanrack.internal.serve.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.toucanrack.internal.protocol.generated.EntryDatagram;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;

/** The forms of one heartbeat for different receivers, each encoded only once. */
final class HeartbeatDatagrams {

  private final EntryHeartbeat.Builder heartbeat;
  private final List<Integer> claims;
  private final Map<List<Object>, byte[]> encoded = new HashMap<>();

  /**
   * Creates the forms of a heartbeat.
   *
   * @param heartbeat a whole heartbeat without claims
   * @param claims the encoded claims
   */
  HeartbeatDatagrams(EntryHeartbeat.Builder heartbeat, List<Integer> claims) {
    this.heartbeat = heartbeat;
    this.claims = claims;
  }

  byte[] encode(int intervalMillis, HeartbeatForms.Form form) {
    return encoded.computeIfAbsent(
        List.of(intervalMillis, form),
        key -> encode(heartbeat.clone().setIntervalMillis(intervalMillis), form));
  }

  private byte[] encode(EntryHeartbeat.Builder copy, HeartbeatForms.Form form) {
    return switch (form) {
      case WHOLE -> whole(copy);
      case WHOLE_WITH_CLAIMS -> whole(copy.addAllClaims(claims));
      case SHORT -> shortForm(copy);
      case SHORT_WITH_CLAIMS -> shortForm(copy.addAllClaims(claims));
      case SHORT_WITH_VALUES -> shortForm(ShortHeartbeats.addClaimValues(copy, claims));
    };
  }

  static byte[] whole(EntryHeartbeat.Builder heartbeat) {
    return EntryDatagram.newBuilder().setHeartbeat(heartbeat).build().toByteArray();
  }

  private static byte[] shortForm(EntryHeartbeat.Builder heartbeat) {
    return EntryDatagram.newBuilder()
        .setShortHeartbeat(ShortHeartbeats.shorten(heartbeat))
        .build()
        .toByteArray();
  }
}
