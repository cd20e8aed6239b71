package org.toucanrack.standin.platform;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * An in-memory table of versioned rows with conditional transactions.
 *
 * <p>A transaction is applied atomically, and at most once for each operation id. Each write of a
 * row increments its version. Versions are never reused: a row that is written again after its
 * deletion continues its sequence, so that a stale condition cannot hold by accident. Thread-safe.
 */
public final class TableStore {

  /** A stored row. */
  public record Row(String key, String value, long version) {}

  /** Requires that a row has the version; version 0 requires that the row is absent. */
  public record Condition(String key, long version) {}

  /** Writes a row, or deletes it if the value is null. */
  public record Write(String key, String value) {}

  /** A transaction of a client; all writes are applied if all conditions hold. */
  public record Commit(String operationId, List<Condition> conditions, List<Write> writes) {
    /** Rejects a missing operation id; missing conditions or writes are treated as empty. */
    public Commit {
      if (operationId == null || operationId.isEmpty()) {
        throw new IllegalArgumentException("operationId is missing");
      }
      conditions = conditions == null ? List.of() : List.copyOf(conditions);
      writes = writes == null ? List.of() : List.copyOf(writes);
    }
  }

  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final TreeMap<String, Long> lastVersions = new TreeMap<>();
  private final Set<String> committedOperationIds = new HashSet<>();

  /** Returns the row, or null if it is absent. */
  public synchronized Row get(String key) {
    return rows.get(key);
  }

  /** Returns all rows whose keys start with the prefix, ordered by key. */
  public synchronized List<Row> list(String prefix) {
    return rows.tailMap(prefix, true).values().stream()
        .takeWhile(row -> row.key().startsWith(prefix))
        .toList();
  }

  /**
   * Applies the transaction unless its operation id has already been committed.
   *
   * @return the reason for refusal if a condition does not hold, otherwise empty
   */
  public synchronized Optional<String> commit(Commit commit) {
    if (committedOperationIds.contains(commit.operationId())) {
      return Optional.empty();
    }
    for (Condition condition : commit.conditions()) {
      Row row = rows.get(condition.key());
      long version = row == null ? 0 : row.version();
      if (version != condition.version()) {
        return Optional.of(
            condition.key() + " has version " + version + ", expected " + condition.version());
      }
    }
    committedOperationIds.add(commit.operationId());
    commit.writes().forEach(this::apply);
    return Optional.empty();
  }

  private void apply(Write write) {
    if (write.value() == null) {
      rows.remove(write.key());
      return;
    }
    long version = lastVersions.merge(write.key(), 1L, Long::sum);
    rows.put(write.key(), new Row(write.key(), write.value(), version));
  }
}
