package org.toucanrack.standin.platform;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Rows with versions and conditional transactions, held in memory. A row that is written again
 * after it was deleted continues its versions, so that a stale condition never holds by accident.
 * Thread-safe.
 */
public final class TableStore {

  /** A stored row. */
  public record Row(String key, String value, long version) {}

  /** Requires a row to have a version; 0 requires it to be absent. */
  public record Condition(String key, long version) {}

  /** Sets a row, or deletes it if the value is null. */
  public record Write(String key, String value) {}

  /** A transaction as sent by a client. */
  public record Commit(String operationId, List<Condition> conditions, List<Write> writes) {
    /** Rejects missing parts. */
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

  /** Returns a row, or null. */
  public synchronized Row get(String key) {
    return rows.get(key);
  }

  /** Returns all rows whose keys start with the prefix, ordered by key. */
  public synchronized List<Row> list(String prefix) {
    return rows.tailMap(prefix, true).values().stream()
        .takeWhile(row -> row.key().startsWith(prefix))
        .toList();
  }

  /** Applies a transaction once; returns the reason if a condition does not hold. */
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
