package org.toucanrack.internal.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.toucanrack.platform.ObjectStore;
import org.toucanrack.platform.Platform;
import org.toucanrack.platform.Row;
import org.toucanrack.platform.StoreAnswer;
import org.toucanrack.platform.TableService;
import org.toucanrack.platform.Transaction;
import org.toucanrack.platform.VmDirectory;

/**
 * An in-memory platform that can lose commits or their answers. The table methods are thread-safe;
 * the object store and the fields are not.
 */
public final class InMemoryPlatform implements Platform, TableService {

  private final Map<String, Row> rows = new TreeMap<>();
  private final Map<String, byte[]> contents = new TreeMap<>();
  private final Set<String> operations = new HashSet<>();

  /** How many of the next commits take effect, but have no answer. */
  public int answersToLose;

  /** How many of the next commits are lost before they take effect. */
  public int commitsToLose;

  /** Whether the platform answers no call. */
  public boolean down;

  /** Runs once, right before the next commit takes effect. */
  public Runnable beforeCommit = () -> {};

  /** Runs once, after a commit whose answer is lost. */
  public Runnable afterLostAnswer = () -> {};

  @Override
  public synchronized CompletionStage<StoreAnswer<Optional<Row>>> get(String key) {
    return answer(Optional.ofNullable(rows.get(key)));
  }

  @Override
  public synchronized CompletionStage<StoreAnswer<List<Row>>> list(String prefix) {
    return answer(rows.values().stream().filter(row -> row.key().startsWith(prefix)).toList());
  }

  @Override
  public synchronized CompletionStage<StoreAnswer<Void>> commit(Transaction transaction) {
    if (commitsToLose > 0) {
      commitsToLose--;
      return unknown();
    }
    Runnable before = beforeCommit;
    beforeCommit = () -> {};
    before.run();
    if (down) {
      return unknown();
    }
    StoreAnswer<Void> answer = apply(transaction);
    if (answersToLose > 0) {
      answersToLose--;
      afterLostAnswer.run();
      return unknown();
    }
    return CompletableFuture.completedFuture(answer);
  }

  private StoreAnswer<Void> apply(Transaction transaction) {
    if (operations.contains(transaction.operation().value())) {
      return new StoreAnswer.Done<>(null);
    }
    for (Transaction.Condition condition : transaction.conditions()) {
      Row row = rows.get(condition.key());
      if (condition.version() != (row == null ? 0 : row.version())) {
        return new StoreAnswer.Refused<>("the row '" + condition.key() + "' has changed");
      }
    }
    operations.add(transaction.operation().value());
    transaction.writes().forEach(this::write);
    return new StoreAnswer.Done<>(null);
  }

  private void write(Transaction.Write write) {
    Row before = rows.remove(write.key());
    long version = before == null ? 1 : before.version() + 1;
    write.value().ifPresent(value -> rows.put(write.key(), new Row(write.key(), value, version)));
  }

  /** Writes a row, as another process would do. */
  public synchronized void putRow(String key, String value) {
    write(new Transaction.Write(key, Optional.of(value)));
  }

  @Override
  public TableService tables() {
    return this;
  }

  @Override
  public ObjectStore objects() {
    return new ObjectStore() {
      @Override
      public CompletionStage<StoreAnswer<Optional<byte[]>>> get(String name) {
        return answer(Optional.ofNullable(contents.get(name)));
      }

      @Override
      public CompletionStage<StoreAnswer<Void>> put(String name, byte[] content) {
        contents.put(name, content);
        return answer(null);
      }
    };
  }

  @Override
  public VmDirectory vms() {
    return () -> answer(List.of());
  }

  @Override
  public void close() {}

  private <T> CompletionStage<StoreAnswer<T>> answer(T value) {
    return down ? unknown() : CompletableFuture.completedFuture(new StoreAnswer.Done<>(value));
  }

  private static <T> CompletionStage<StoreAnswer<T>> unknown() {
    return CompletableFuture.completedFuture(new StoreAnswer.Unknown<>("no answer"));
  }
}
