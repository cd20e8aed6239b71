package org.toucanrack.internal.state.shared;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.toucanrack.steering.SharedRow;
import org.toucanrack.steering.SharedTable;

class SharedTableReplicaTest {

  private final SharedTableReplica replica = new SharedTableReplica();

  // Guards against a late store response or an outdated VM that restores an old row.
  @Test
  void ignoresRowsThatAreNotNewer() {
    assertTrue(replica.merge(row("a", 5, "new")));

    assertFalse(replica.merge(row("a", 4, "old")));
    assertFalse(replica.merge(row("a", 5, "same")));

    assertEquals("new", new String(replica.row(SharedTable.SERVERS, "a").orElseThrow().value()));
  }

  // Guards against a server that stays in use because its removal is missing from the history.
  @Test
  void replacingTheTableRemovesRowsItLacks() {
    replica.merge(row("a", 5, "a"));
    replica.merge(row("b", 6, "b"));

    List<SharedRow> changed = replica.replace(SharedTable.SERVERS, List.of(row("b", 6, "b")), 9);

    assertEquals(1, changed.size());
    assertTrue(changed.get(0).isRemoved());
    assertTrue(replica.row(SharedTable.SERVERS, "a").isEmpty());
  }

  // Guards against losing newer rows when a table is read from an outdated store replica.
  @Test
  void replacingTheTableKeepsNewerRows() {
    replica.merge(row("a", 12, "a"));

    assertTrue(replica.replace(SharedTable.SERVERS, List.of(), 9).isEmpty());
    assertTrue(replica.row(SharedTable.SERVERS, "a").isPresent());
  }

  // Guards against a removed row that a late update from another VM restores.
  @Test
  void ignoresOlderRowsAfterRemoval() {
    replica.merge(row("a", 5, "a"));
    replica.merge(new SharedRow(key("a"), 7, null));

    assertFalse(replica.merge(row("a", 6, "late")));
    assertEquals(1, replica.rowsAfter(SharedTable.SERVERS, 6).size());
  }

  // Guards against a removed row that an outdated VM gives to a VM that has read the table since.
  @Test
  void ignoresUnknownRowsThatTheStoreHadRemoved() {
    replica.replace(SharedTable.SERVERS, List.of(row("b", 3, "b")), 9);

    assertFalse(replica.merge(row("a", 6, "outdated")));
    assertTrue(replica.merge(row("c", 10, "new")));
    assertTrue(replica.row(SharedTable.SERVERS, "a").isEmpty());
  }

  // Guards against a row that was added and removed between two answers of the change feed.
  @Test
  void ignoresUnknownRowsUpToTheRevisionOfTheChangeFeed() {
    replica.replace(SharedTable.SERVERS, List.of(), 4);
    replica.advance(SharedTable.SERVERS, 9);

    assertFalse(replica.merge(row("a", 6, "outdated")));
  }

  // Guards against rows of the store itself that are taken for outdated when it is read again.
  @Test
  void replacingTheTableAddsAllItsRows() {
    replica.advance(SharedTable.SERVERS, 9);

    assertEquals(1, replica.replace(SharedTable.SERVERS, List.of(row("a", 6, "a")), 9).size());
  }

  private static SharedRow.RowKey key(String name) {
    return new SharedRow.RowKey(SharedTable.SERVERS, name);
  }

  private static SharedRow row(String name, long revision, String value) {
    return new SharedRow(key(name), revision, value.getBytes());
  }
}
