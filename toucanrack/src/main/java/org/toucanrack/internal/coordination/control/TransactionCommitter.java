package org.toucanrack.internal.coordination.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.toucanrack.platform.Row;
import org.toucanrack.platform.StoreAnswer;
import org.toucanrack.platform.TableService;
import org.toucanrack.platform.Transaction;

/**
 * Commits transactions and resolves lost answers: the first written row is read back, and only a
 * transaction that has not taken effect is sent again, with the same operation id. Thread-safe.
 */
final class TransactionCommitter {

  private static final int MAX_ATTEMPTS = 4;

  private final TableService tables;
  private final Executor delayedExecutor;

  /**
   * Creates a committer; {@code delayedExecutor} delays a task by the time between two attempts.
   */
  TransactionCommitter(TableService tables, Executor delayedExecutor) {
    this.tables = tables;
    this.delayedExecutor = delayedExecutor;
  }

  /**
   * Returns done or refused, or unknown if the table could not be read back in several attempts.
   */
  CompletionStage<StoreAnswer<Void>> submit(Transaction transaction) {
    return attempt(transaction, 1);
  }

  private CompletionStage<StoreAnswer<Void>> attempt(Transaction transaction, int attemptNumber) {
    return tables
        .commit(transaction)
        .thenCompose(
            answer ->
                answer instanceof StoreAnswer.Unknown<Void> unknown
                    ? afterDelay(() -> resolveUnknown(transaction, attemptNumber, unknown))
                    : CompletableFuture.completedStage(answer));
  }

  private CompletionStage<StoreAnswer<Void>> resolveUnknown(
      Transaction transaction, int attemptNumber, StoreAnswer.Unknown<Void> unknown) {
    if (transaction.writes().isEmpty()) {
      return CompletableFuture.completedStage(unknown);
    }
    return tables
        .get(transaction.writes().get(0).key())
        .thenCompose(
            answer -> {
              if (answer instanceof StoreAnswer.Done<Optional<Row>> done
                  && tookEffect(transaction, done.value())) {
                return CompletableFuture.completedStage(new StoreAnswer.Done<>(null));
              }
              if (attemptNumber >= MAX_ATTEMPTS) {
                return CompletableFuture.completedStage(unknown);
              }
              return answer.isDone()
                  ? attempt(transaction, attemptNumber + 1)
                  : afterDelay(() -> resolveUnknown(transaction, attemptNumber + 1, unknown));
            });
  }

  /**
   * Returns whether the row has exactly the written value and the version after the condition. In
   * other cases the transaction is sent again, and the table recognizes its operation id.
   */
  private static boolean tookEffect(Transaction transaction, Optional<Row> found) {
    Transaction.Write write = transaction.writes().get(0);
    Optional<Long> expected =
        transaction.conditions().stream()
            .filter(condition -> condition.key().equals(write.key()))
            .map(condition -> condition.version() + 1)
            .findFirst();
    return expected.isPresent()
        && found.filter(row -> row.version() == expected.get()).isPresent()
        && write.value().equals(found.map(Row::value));
  }

  private <T> CompletionStage<T> afterDelay(java.util.function.Supplier<CompletionStage<T>> next) {
    CompletableFuture<Void> delayElapsed = new CompletableFuture<>();
    delayedExecutor.execute(() -> delayElapsed.complete(null));
    return delayElapsed.thenCompose(done -> next.get());
  }
}
