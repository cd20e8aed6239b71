package org.toucanrack.steering;

import java.util.Objects;

/**
 * A row of the platform's store as VMs hold it and pass it on. Immutable by convention.
 *
 * @param key names the row
 * @param revision rises with each change in the store, over all rows
 * @param value the bytes; null if the row was removed
 */
public record SharedRow(RowKey key, long revision, byte[] value) {

  /** Rejects rows without key. */
  public SharedRow {
    Objects.requireNonNull(key, "key");
  }

  /** Returns whether the row was removed. */
  public boolean isRemoved() {
    return value == null;
  }

  /**
   * Names a row.
   *
   * @param table the table
   * @param name the name within the table
   */
  public record RowKey(SharedTable table, String name) {}
}
