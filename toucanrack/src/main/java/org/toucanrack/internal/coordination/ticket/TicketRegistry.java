package org.toucanrack.internal.coordination.ticket;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToLongFunction;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.toucanrack.ErrorCode;
import org.toucanrack.Verdict;
import org.toucanrack.id.Incarnation;

/**
 * Issues the tickets of one incarnation and stores their outcomes.
 *
 * <p>Invariants: a ticket's request is run at most once, unless that run ended as {@link
 * Verdict#NOT_RUN}. An outcome is kept for at least as long as its ticket is valid. Memory is
 * bounded: unused tickets need none, used ones expire, and first uses are refused while the stored
 * outcomes exceed the limit. Thread-safe.
 *
 * @param <T> the type of answers
 */
public final class TicketRegistry<T> {

  /** Time for which a ticket can be used after it was issued. */
  public static final long LIFETIME_NANOS = 300_000_000_000L;

  private static final long MAX_STORED_BYTES = 48L << 20;
  private static final int BYTES_PER_ENTRY = 512;
  private static final int COUNTER_BITS = 24;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final String MAC_ALGORITHM = "HmacSHA256";

  private final Incarnation self;
  private final SecretKeySpec secret;
  private final ToLongFunction<T> sizeOf;
  private final long startNanos;
  private final Map<Long, Entry<T>> entries = new HashMap<>();
  private final ArrayDeque<Entry<T>> byExpiry = new ArrayDeque<>();
  private long issueCounter;
  private long storedBytes;

  /**
   * Creates an empty registry.
   *
   * @param self the issuer of all tickets of this registry
   * @param secret random bytes, new for each incarnation
   * @param sizeOf bytes that an answer occupies
   * @param startNanos monotonic time of the start
   */
  public TicketRegistry(
      Incarnation self, byte[] secret, ToLongFunction<T> sizeOf, long startNanos) {
    this.self = self;
    this.secret = new SecretKeySpec(secret, MAC_ALGORITHM);
    this.sizeOf = sizeOf;
    this.startNanos = startNanos;
  }

  private static final class Entry<T> {
    final long sequence;
    final String fingerprint;
    final long expiresAtNanos;
    final CompletableFuture<T> outcome = new CompletableFuture<>();
    long bytes = BYTES_PER_ENTRY;

    Entry(long sequence, String fingerprint, long expiresAtNanos) {
      this.sequence = sequence;
      this.fingerprint = fingerprint;
      this.expiresAtNanos = expiresAtNanos;
    }
  }

  /** Issues a ticket. The high bits of its sequence are the seconds from the start to its issue. */
  public synchronized String issue(long nowNanos) {
    long second = (nowNanos - startNanos) / NANOS_PER_SECOND;
    issueCounter = (issueCounter + 1) & ((1L << COUNTER_BITS) - 1);
    TicketId unsigned = new TicketId(self, second << COUNTER_BITS | issueCounter, "");
    return new TicketId(self, unsigned.sequence(), macOf(unsigned)).toString();
  }

  /**
   * Decides how to handle a request that carries a ticket.
   *
   * @param fingerprint identifies customer and request, so that a ticket cannot fetch the answer to
   *     another request
   */
  public synchronized TicketUse<T> use(TicketId ticket, String fingerprint, long nowNanos) {
    removeExpired(nowNanos);
    if (!ticket.issuer().equals(self)) {
      return new TicketUse.Refused<>(
          Verdict.MAY_HAVE_RUN,
          ErrorCode.TICKET_HOME_LOST,
          "The VM that issued the ticket has restarted. Check whether the request ran.");
    }
    if (!hasValidMac(ticket)) {
      return new TicketUse.Refused<>(
          Verdict.NOT_RUN, ErrorCode.TICKET_UNKNOWN, "The ticket is not valid. Get a new one.");
    }
    Entry<T> entry = entries.get(ticket.sequence());
    return entry == null ? firstUse(ticket, fingerprint, nowNanos) : repeat(entry, fingerprint);
  }

  /**
   * Stores the outcome of a first use; after {@link Verdict#NOT_RUN} the ticket is unused again.
   */
  public void complete(TicketId ticket, Verdict verdict, T answer) {
    CompletableFuture<T> outcome = store(ticket, verdict, answer);
    if (outcome != null) {
      outcome.complete(answer);
    }
  }

  private synchronized CompletableFuture<T> store(TicketId ticket, Verdict verdict, T answer) {
    Entry<T> entry = entries.get(ticket.sequence());
    if (entry == null) {
      return null;
    }
    if (verdict == Verdict.NOT_RUN) {
      entries.remove(entry.sequence);
    } else {
      long bytes = sizeOf.applyAsLong(answer);
      entry.bytes += bytes;
      storedBytes += bytes;
    }
    return entry.outcome;
  }

  private TicketUse<T> firstUse(TicketId ticket, String fingerprint, long nowNanos) {
    if (ageNanos(ticket, nowNanos) >= LIFETIME_NANOS) {
      return new TicketUse.Refused<>(
          Verdict.MAY_HAVE_RUN,
          ErrorCode.TICKET_UNKNOWN,
          "The ticket has expired. Check whether the request ran.");
    }
    if (storedBytes >= MAX_STORED_BYTES) {
      return new TicketUse.Refused<>(
          Verdict.NOT_RUN, ErrorCode.OVERLOADED, "This VM holds too many outcomes. Retry later.");
    }
    Entry<T> entry = new Entry<>(ticket.sequence(), fingerprint, nowNanos + LIFETIME_NANOS);
    entries.put(entry.sequence, entry);
    byExpiry.addLast(entry);
    storedBytes += entry.bytes;
    return new TicketUse.First<>();
  }

  private TicketUse<T> repeat(Entry<T> entry, String fingerprint) {
    return entry.fingerprint.equals(fingerprint)
        ? new TicketUse.Repeat<>(entry.outcome.copy())
        : new TicketUse.Refused<>(
            Verdict.NOT_RUN, ErrorCode.CONFLICT, "The ticket belongs to another request.");
  }

  /** Entries of running requests are kept beyond their expiry. */
  private void removeExpired(long nowNanos) {
    while (!byExpiry.isEmpty()
        && nowNanos - byExpiry.peekFirst().expiresAtNanos >= 0
        && byExpiry.peekFirst().outcome.isDone()) {
      Entry<T> expired = byExpiry.pollFirst();
      entries.remove(expired.sequence, expired);
      storedBytes -= expired.bytes;
    }
  }

  private long ageNanos(TicketId ticket, long nowNanos) {
    return nowNanos - startNanos - (ticket.sequence() >>> COUNTER_BITS) * NANOS_PER_SECOND;
  }

  private boolean hasValidMac(TicketId ticket) {
    return MessageDigest.isEqual(
        macOf(ticket).getBytes(StandardCharsets.US_ASCII),
        ticket.mac().getBytes(StandardCharsets.US_ASCII));
  }

  private String macOf(TicketId ticket) {
    try {
      Mac mac = Mac.getInstance(MAC_ALGORITHM);
      mac.init(secret);
      return HexFormat.of()
          .formatHex(mac.doFinal(ticket.signedPart().getBytes(StandardCharsets.US_ASCII)));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(e);
    }
  }
}
