package org.toucanrack.internal.coordination.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.toucanrack.id.OperationId;
import org.toucanrack.platform.Row;
import org.toucanrack.platform.StoreAnswer;
import org.toucanrack.platform.Transaction;

/** An in-memory table and object store that answer immediately. */
final class FakeStore {

  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final Map<String, byte[]> objects = new HashMap<>();
  private final Map<OperationId, Boolean> operations = new HashMap<>();
  private long writes;

  StoreAnswer<Optional<Row>> get(String key) {
    return new StoreAnswer.Done<>(Optional.ofNullable(rows.get(key)));
  }

  StoreAnswer<List<Row>> list(String prefix) {
    return new StoreAnswer.Done<>(
        List.copyOf(rows.subMap(prefix, prefix + Character.MAX_VALUE).values()));
  }

  StoreAnswer<Void> commit(Transaction transaction) {
    if (operations.containsKey(transaction.operation())) {
      return new StoreAnswer.Done<>(null);
    }
    for (Transaction.Condition condition : transaction.conditions()) {
      Row row = rows.get(condition.key());
      if ((row == null ? 0 : row.version()) != condition.version()) {
        return new StoreAnswer.Refused<>("condition on " + condition.key());
      }
    }
    operations.put(transaction.operation(), true);
    transaction.writes().forEach(write -> apply(write.key(), write.value()));
    return new StoreAnswer.Done<>(null);
  }

  private void apply(String key, Optional<String> value) {
    writes++;
    long version = rows.containsKey(key) ? rows.get(key).version() + 1 : 1;
    if (value.isPresent()) {
      rows.put(key, new Row(key, value.get(), version));
    } else {
      rows.remove(key);
    }
  }

  void put(String key, String value) {
    apply(key, Optional.of(value));
  }

  StoreAnswer<Optional<byte[]>> object(String name) {
    return new StoreAnswer.Done<>(Optional.ofNullable(objects.get(name)));
  }

  /** Accepts a configuration as the apply command does. */
  void accept(long version, byte[] body) {
    String hash = ConfigurationAdoption.sha256(body);
    objects.put(ConfigurationAdoption.objectName(hash), body);
    put(CurrentVersion.KEY, "{\"version\":%d,\"hash\":\"%s\"}".formatted(version, hash));
  }

  long writes() {
    return writes;
  }
}
