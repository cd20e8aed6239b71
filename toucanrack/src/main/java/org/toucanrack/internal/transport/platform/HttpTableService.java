package org.toucanrack.internal.transport.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.toucanrack.platform.Row;
import org.toucanrack.platform.StoreAnswer;
import org.toucanrack.platform.TableService;
import org.toucanrack.platform.Transaction;

/** Accesses the platform's table service over HTTP. Thread-safe. */
final class HttpTableService implements TableService {

  private final PlatformCalls calls;

  HttpTableService(PlatformCalls calls) {
    this.calls = calls;
  }

  @Override
  public CompletionStage<StoreAnswer<Optional<Row>>> get(String key) {
    ObjectNode body = PlatformCalls.JSON.createObjectNode().put("key", key);
    return calls.post("/table/get", body, HttpTableService::decodeRow);
  }

  @Override
  public CompletionStage<StoreAnswer<List<Row>>> list(String prefix) {
    ObjectNode body = PlatformCalls.JSON.createObjectNode().put("prefix", prefix);
    return calls.post("/table/list", body, HttpTableService::decodeRows);
  }

  @Override
  public CompletionStage<StoreAnswer<Void>> commit(Transaction transaction) {
    return calls.post("/table/commit", encode(transaction), HttpTableService::decodeCommit);
  }

  private static ObjectNode encode(Transaction transaction) {
    ObjectNode body = PlatformCalls.JSON.createObjectNode();
    body.put("operationId", transaction.operation().value());
    ArrayNode conditions = body.putArray("conditions");
    for (Transaction.Condition condition : transaction.conditions()) {
      conditions.addObject().put("key", condition.key()).put("version", condition.version());
    }
    ArrayNode writes = body.putArray("writes");
    for (Transaction.Write write : transaction.writes()) {
      writes.addObject().put("key", write.key()).put("value", write.value().orElse(null));
    }
    return body;
  }

  private static Optional<Row> decodeRow(int status, byte[] body) throws IOException {
    JsonNode row = PlatformCalls.requiredField(PlatformCalls.parseObject(status, body), "row");
    return row.isNull() ? Optional.empty() : Optional.of(parseRow(row));
  }

  private static List<Row> decodeRows(int status, byte[] body) throws IOException {
    List<Row> rows = new ArrayList<>();
    for (JsonNode row :
        PlatformCalls.requiredField(PlatformCalls.parseObject(status, body), "rows")) {
      rows.add(parseRow(row));
    }
    return List.copyOf(rows);
  }

  private static Row parseRow(JsonNode node) throws IOException {
    JsonNode value = PlatformCalls.requiredField(node, "value");
    if (!value.isTextual()) {
      throw new IOException("the platform's row has a value that is not a string");
    }
    return new Row(
        PlatformCalls.requiredField(node, "key").asText(),
        value.asText(),
        PlatformCalls.requiredField(node, "version").asLong());
  }

  private static Void decodeCommit(int status, byte[] body) throws IOException {
    JsonNode done = PlatformCalls.requiredField(PlatformCalls.parseObject(status, body), "done");
    if (!done.asBoolean()) {
      throw new IOException("the platform did not confirm the transaction");
    }
    return null;
  }
}
