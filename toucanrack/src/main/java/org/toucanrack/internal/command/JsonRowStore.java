package org.toucanrack.internal.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.id.OperationId;
import org.toucanrack.internal.configuration.ReliableCommit;
import org.toucanrack.platform.Platform;
import org.toucanrack.platform.Row;
import org.toucanrack.platform.TableService;
import org.toucanrack.platform.Transaction;
import org.toucanrack.platform.Transaction.Condition;
import org.toucanrack.platform.Transaction.Write;

/**
 * Blocking access to single JSON rows of the table service, for commands. Thread-safe.
 *
 * <p>Each written row has a field {@code operationId}, which shows whether a write with a lost
 * answer took effect. Other writers that update the row must keep that field.
 */
final class JsonRowStore {

  static final ObjectMapper JSON = new ObjectMapper();

  private static final String OPERATION_FIELD = "operationId";

  private final TableService tables;
  private final ReliableCommit commits;

  JsonRowStore(Platform platform) {
    this.tables = platform.tables();
    this.commits = new ReliableCommit(tables, Pause::millis);
  }

  Optional<Row> read(String key) {
    return commits.retry("read " + key, () -> tables.get(key)).orThrow();
  }

  List<Row> list(String prefix) {
    return commits.retry("list " + prefix, () -> tables.list(prefix)).orThrow();
  }

  private void commit(Transaction transaction, String key, Predicate<Optional<Row>> isCommitted) {
    try {
      commits.commit(transaction, key, isCommitted);
    } catch (ToucanrackException e) {
      if (e.code() != ErrorCode.CONFLICT) {
        throw e;
      }
      throw new ToucanrackException(
          ErrorCode.CONFLICT,
          "Another change of '%s' came first (%s). Run 'toucanrack status' and try again."
              .formatted(key, e.getMessage()),
          e);
    }
  }

  /** Creates or replaces a row, provided that it has not changed since it was read. */
  void write(String key, Optional<Row> existing, ObjectNode value) {
    OperationId operation = VersionSequence.newOperationId();
    String text = value.put(OPERATION_FIELD, operation.value()).toString();
    commit(
        new Transaction(
            operation,
            List.of(condition(key, existing)),
            List.of(new Write(key, Optional.of(text)))),
        key,
        row -> row.map(found -> wasLastWrittenBy(found, operation)).orElse(false));
  }

  /** Deletes a row, provided that it has not changed since it was read. */
  void delete(Row existing) {
    commit(
        new Transaction(
            VersionSequence.newOperationId(),
            List.of(new Condition(existing.key(), existing.version())),
            List.of(new Write(existing.key(), Optional.empty()))),
        existing.key(),
        Optional::isEmpty);
  }

  static ObjectNode parse(Row row) {
    try {
      if (JSON.readTree(row.value()) instanceof ObjectNode node) {
        return node;
      }
    } catch (JsonProcessingException e) {
      // Reported below, like JSON values that are not objects.
    }
    throw new ToucanrackException(
        ErrorCode.INTERNAL,
        "The row '%s' is not a JSON object. Use the release that wrote it.".formatted(row.key()));
  }

  /** Returns a row's value; if it is not a JSON object, its text in a field {@code unreadable}. */
  static ObjectNode parseOrDescribe(Row row) {
    try {
      return parse(row);
    } catch (ToucanrackException e) {
      return JSON.createObjectNode().put("unreadable", row.value());
    }
  }

  private static Condition condition(String key, Optional<Row> existing) {
    return new Condition(key, existing.map(Row::version).orElse(0L));
  }

  private static boolean wasLastWrittenBy(Row row, OperationId operation) {
    JsonNode lastOperation = parse(row).path(OPERATION_FIELD);
    return lastOperation.asText().equals(operation.value());
  }
}
