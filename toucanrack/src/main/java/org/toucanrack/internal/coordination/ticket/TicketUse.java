package org.toucanrack.internal.coordination.ticket;

import java.util.concurrent.CompletableFuture;
import org.toucanrack.ErrorCode;
import org.toucanrack.Verdict;

/**
 * What to do with a request that carries a ticket.
 *
 * @param <T> the type of answers
 */
public sealed interface TicketUse<T> {

  /**
   * The first use: run the request, then call {@link TicketRegistry#complete}.
   *
   * @param <T> the type of answers
   */
  record First<T>() implements TicketUse<T> {}

  /**
   * A repeat: answer with the outcome of the first use, now or when it ends.
   *
   * @param outcome the stored or coming answer; each caller gets an own copy
   * @param <T> the type of answers
   */
  record Repeat<T>(CompletableFuture<T> outcome) implements TicketUse<T> {}

  /**
   * The ticket cannot be used.
   *
   * @param verdict whether an earlier use may have run
   * @param code the reason
   * @param message the reason in words
   * @param <T> the type of answers
   */
  record Refused<T>(Verdict verdict, ErrorCode code, String message) implements TicketUse<T> {}
}
