package org.toucanrack.internal.coordination.ticket;

import java.util.concurrent.CompletableFuture;
import org.toucanrack.ErrorCode;
import org.toucanrack.Verdict;

/**
 * The decision on a request that carries a ticket.
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
   * A repeat: answer with the outcome of the first use, now or when it completes.
   *
   * @param outcome the stored or pending answer; each caller gets its own copy
   * @param <T> the type of answers
   */
  record Repeat<T>(CompletableFuture<T> outcome) implements TicketUse<T> {}

  /**
   * The ticket cannot be used.
   *
   * @param verdict whether an earlier use may have run
   * @param code the error code of the refusal
   * @param message the reason in words
   * @param <T> the type of answers
   */
  record Refused<T>(Verdict verdict, ErrorCode code, String message) implements TicketUse<T> {}
}
