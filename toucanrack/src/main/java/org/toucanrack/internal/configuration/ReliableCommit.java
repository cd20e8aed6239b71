package org.toucanrack.internal.configuration;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.LongConsumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.platform.Row;
import org.toucanrack.platform.StoreAnswer;
import org.toucanrack.platform.TableService;
import org.toucanrack.platform.Transaction;

/**
 * Commits transactions and, if an answer is lost, determines the outcome and retries. Blocks; for
 * the command line. Thread-safe.
 *
 * <p>Invariant: a transaction is retried only with its own operation id, and only after a read of
 * its evidence row did not confirm it.
 */
public final class ReliableCommit {

  static final int MAX_ATTEMPTS = 5;

  private static final long INITIAL_BACKOFF_MILLIS = 200;

  private final TableService tables;
  private final LongConsumer pauseMillis;

  /** Creates an instance; {@code pauseMillis} sleeps between attempts. */
  public ReliableCommit(TableService tables, LongConsumer pauseMillis) {
    this.tables = tables;
    this.pauseMillis = pauseMillis;
  }

  /**
   * Returns once the transaction is committed.
   *
   * <p>Throws with {@code CONFLICT} if it was refused, and with {@code OUTCOME_UNKNOWN} if the
   * outcome is still unknown after {@link #MAX_ATTEMPTS} attempts.
   *
   * @param evidenceKey the row that shows whether the transaction was committed
   * @param isCommitted whether that row, or its absence, shows the transaction as committed
   */
  public void commit(
      Transaction transaction, String evidenceKey, Predicate<Optional<Row>> isCommitted) {
    String reason = "";
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      backOffBefore(attempt);
      StoreAnswer<Void> answer = join(tables.commit(transaction));
      if (answer.isDone()) {
        return;
      }
      boolean refused = answer instanceof StoreAnswer.Refused;
      reason = reason(answer);
      if (refused && attempt == 0) {
        throw new ToucanrackException(ErrorCode.CONFLICT, reason);
      }
      StoreAnswer<Optional<Row>> evidence = join(tables.get(evidenceKey));
      if (evidence instanceof StoreAnswer.Done<Optional<Row>> row) {
        if (isCommitted.test(row.value())) {
          return;
        }
        if (refused) {
          throw new ToucanrackException(ErrorCode.CONFLICT, reason);
        }
      }
    }
    throw unknownOutcome(transaction, reason);
  }

  /**
   * Makes an idempotent call, up to {@link #MAX_ATTEMPTS} times until the platform answers.
   *
   * @param description what the call does, for the error message
   */
  public <T> StoreAnswer<T> retry(
      String description, Supplier<CompletionStage<StoreAnswer<T>>> call) {
    StoreAnswer<T> answer = join(call.get());
    for (int attempt = 1; attempt < MAX_ATTEMPTS; attempt++) {
      if (!(answer instanceof StoreAnswer.Unknown<T>)) {
        return answer;
      }
      backOffBefore(attempt);
      answer = join(call.get());
    }
    return answer instanceof StoreAnswer.Unknown<T> unknown
        ? new StoreAnswer.Unknown<>(
            "The platform did not answer (%s: %s). Nothing was changed; try again later."
                .formatted(description, unknown.reason()))
        : answer;
  }

  private void backOffBefore(int attempt) {
    if (attempt > 0) {
      pauseMillis.accept(INITIAL_BACKOFF_MILLIS << (attempt - 1));
    }
  }

  private static <T> StoreAnswer<T> join(CompletionStage<StoreAnswer<T>> stage) {
    return stage.toCompletableFuture().join();
  }

  private static String reason(StoreAnswer<?> answer) {
    return answer instanceof StoreAnswer.Refused<?> refused
        ? refused.reason()
        : ((StoreAnswer.Unknown<?>) answer).reason();
  }

  private static ToucanrackException unknownOutcome(Transaction transaction, String reason) {
    return new ToucanrackException(
        ErrorCode.OUTCOME_UNKNOWN,
        ("The change may have been accepted; the platform did not answer (%s)."
                + " Look for operation %s in 'toucanrack status' before you repeat it.")
            .formatted(reason, transaction.operation()));
  }
}
