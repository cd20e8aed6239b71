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
final class RecordWrites {

  private static final int MAX_ATTEMPTS = 4;

  private final TableService tables;
  private final Executor later;

  /** Creates the writer; {@code later} runs a task after the wait between two attempts. */
  RecordWrites(TableService tables, Executor later) {
    this.tables = tables;
    this.later = later;
  }

  /**
   * Returns done or refused, or unknown if the table could not be read back in several attempts.
   */
  CompletionStage<StoreAnswer<Void>> submit(Transaction transaction) {
    return attempt(transaction, 1);
  }

  private CompletionStage<StoreAnswer<Void>> attempt(Transaction transaction, int number) {
    return tables
        .commit(transaction)
        .thenCompose(
            answer ->
                answer instanceof StoreAnswer.Unknown<Void> unknown
                    ? afterWait(() -> resolve(transaction, number, unknown))
                    : CompletableFuture.completedStage(answer));
  }

  private CompletionStage<StoreAnswer<Void>> resolve(
      Transaction transaction, int number, StoreAnswer.Unknown<Void> unknown) {
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
              if (number >= MAX_ATTEMPTS) {
                return CompletableFuture.completedStage(unknown);
              }
              return answer.isDone()
                  ? attempt(transaction, number + 1)
                  : afterWait(() -> resolve(transaction, number + 1, unknown));
            });
  }

  /**
   * Returns whether the row has exactly the written value in the version after the condition. Other
   * cases are left to the table, which knows the operation id.
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

  private <T> CompletionStage<T> afterWait(java.util.function.Supplier<CompletionStage<T>> next) {
    CompletableFuture<Void> waited = new CompletableFuture<>();
    later.execute(() -> waited.complete(null));
    return waited.thenCompose(done -> next.get());
  }
}
