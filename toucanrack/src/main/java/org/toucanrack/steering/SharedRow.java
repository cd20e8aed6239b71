package org.toucanrack.steering;

import java.util.Objects;

/**
 * A row of the platform's store, as VMs replicate it. Immutable by convention: callers must not
 * change the array.
 *
 * @param key the key of the row
 * @param revision the revision of the last change of the row; the store increases it with each
 *     change of any row
 * @param value the encoded value; null if the row was removed
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
   * The key of a row.
   *
   * @param table the table
   * @param name the name within the table
   */
  public record RowKey(SharedTable table, String name) {

    // Written out to spare each process the code that links the added ones, see
    // docs/design/start-up.md.
    @Override
    public boolean equals(Object other) {
      return other instanceof RowKey key && table == key.table && Objects.equals(name, key.name);
    }

    @Override
    public int hashCode() {
      return Objects.hashCode(table) * 31 + Objects.hashCode(name);
    }
  }
}
