package org.toucanrack.platform;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.toucanrack.id.OperationId;

/**
 * Writes that are applied atomically if all conditions hold. Immutable and thread-safe.
 *
 * <p>The operation id makes a commit idempotent: a transaction whose id was already committed is
 * answered as done and not applied again.
 *
 * @param operation identifies the transaction
 * @param conditions must all hold
 * @param writes applied atomically
 */
public record Transaction(OperationId operation, List<Condition> conditions, List<Write> writes) {

  /** Copies the lists. */
  public Transaction {
    Objects.requireNonNull(operation, "operation");
    conditions = List.copyOf(conditions);
    writes = List.copyOf(writes);
  }

  /**
   * Requires a version of a row.
   *
   * @param key the row
   * @param version the required version; 0 requires that the row is absent
   */
  public record Condition(String key, long version) {}

  /**
   * Writes or deletes a row.
   *
   * @param key the row
   * @param value the new value, or empty to delete the row
   */
  public record Write(String key, Optional<String> value) {}
}
