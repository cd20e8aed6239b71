package org.toucanrack.internal.coordination.ticket;

import java.util.Optional;
import org.toucanrack.ToucanrackException;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.VmId;

/**
 * A parsed ticket {@code VM.INCARNATION.SEQUENCE.MAC}. Immutable and thread-safe.
 *
 * @param issuer the incarnation that issued the ticket and stores its outcome in memory
 * @param sequence number assigned by the issuer; its high bits give the second of issue
 * @param mac message authentication code that proves the issuer
 */
public record TicketId(Incarnation issuer, long sequence, String mac) {

  private static final int PARTS_AFTER_VM = 3;
  private static final int HEX_RADIX = 16;

  /** Parses a ticket; empty if it is malformed. The name of the VM may contain dots. */
  public static Optional<TicketId> parse(String text) {
    String[] parts = text.split("\\.", -1);
    int last = parts.length - 1;
    if (last < PARTS_AFTER_VM) {
      return Optional.empty();
    }
    String vm = text.substring(0, vmNameLength(parts));
    try {
      long number = Long.parseUnsignedLong(parts[last - 2], HEX_RADIX);
      long sequence = Long.parseLong(parts[last - 1], HEX_RADIX);
      return Optional.of(
          new TicketId(new Incarnation(new VmId(vm), number), sequence, parts[last]));
    } catch (IllegalArgumentException | ToucanrackException e) {
      return Optional.empty();
    }
  }

  private static int vmNameLength(String[] parts) {
    int length = parts.length - PARTS_AFTER_VM - 1;
    for (int i = 0; i < parts.length - PARTS_AFTER_VM; i++) {
      length += parts[i].length();
    }
    return length;
  }

  /** Returns the part that the MAC covers. */
  String signedPart() {
    return issuer.vm() + "." + Long.toHexString(issuer.number()) + "." + Long.toHexString(sequence);
  }

  @Override
  public String toString() {
    return signedPart() + "." + mac;
  }
}
