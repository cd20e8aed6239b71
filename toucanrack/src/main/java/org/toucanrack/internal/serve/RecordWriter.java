package org.toucanrack.internal.serve;

import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionStage;
import org.toucanrack.id.OperationId;
import org.toucanrack.internal.coordination.control.ControlPlane;
import org.toucanrack.platform.Row;
import org.toucanrack.platform.StoreAnswer;
import org.toucanrack.platform.Transaction;

/**
 * Writes a record on condition that its row is unchanged. If two VMs write concurrently, the second
 * write is refused, and that VM plans again from the newer record. Thread-safe.
 */
final class RecordWriter {

  private final ControlPlane control;

  RecordWriter(ControlPlane control) {
    this.control = control;
  }

  CompletionStage<StoreAnswer<Void>> create(String key, String value) {
    return write(key, 0, value);
  }

  CompletionStage<StoreAnswer<Void>> replace(Row row, String value) {
    return write(row.key(), row.version(), value);
  }

  private CompletionStage<StoreAnswer<Void>> write(String key, long version, String value) {
    return control.submit(
        new Transaction(
            new OperationId("record-" + UUID.randomUUID()),
            List.of(new Transaction.Condition(key, version)),
            List.of(new Transaction.Write(key, Optional.of(value)))));
  }
}
