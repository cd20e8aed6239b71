package org.toucanrack.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The transactional table service of the platform.
 *
 * <p>Calls never throw and never complete exceptionally; a failed call completes with {@link
 * StoreAnswer.Unknown}. Implementations are thread-safe.
 */
public interface TableService {

  /** Reads one row; the result is empty if it does not exist. */
  CompletionStage<StoreAnswer<Optional<Row>>> get(String key);

  /** Reads all rows whose keys start with the prefix, ordered by key. */
  CompletionStage<StoreAnswer<List<Row>>> list(String prefix);

  /**
   * Commits a transaction. It is refused if one of its conditions does not hold.
   *
   * <pre>{@code
   * table.commit(new Transaction(operation, List.of(new Condition("move/a", 3)), writes));
   * }</pre>
   */
  CompletionStage<StoreAnswer<Void>> commit(Transaction transaction);
}
