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

  private static SharedRow.RowKey key(String name) {
    return new SharedRow.RowKey(SharedTable.SERVERS, name);
  }

  private static SharedRow row(String name, long revision, String value) {
    return new SharedRow(key(name), revision, value.getBytes());
  }
}
