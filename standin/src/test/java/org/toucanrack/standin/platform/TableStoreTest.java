package org.toucanrack.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.toucanrack.standin.platform.TableStore.Commit;
import org.toucanrack.standin.platform.TableStore.Condition;
import org.toucanrack.standin.platform.TableStore.Write;

/**
 * Tests conditional transactions: repeated operations, stale conditions, and versions of rows that
 * are written again after deletion. A table stand-in without these checks would hide lost updates.
 */
class TableStoreTest {

  private final TableStore store = new TableStore();

  @Test
  void repeatedOperationSucceedsWithoutBeingAppliedAgain() {
    Commit commit = commit("a", new Condition("row", 0), new Write("row", "1"));

    Optional<String> first = store.commit(commit);
    Optional<String> second = store.commit(commit);

    assertTrue(first.isEmpty() && second.isEmpty());
    assertEquals(1, store.get("row").version());
  }

  @Test
  void transactionWithStaleConditionChangesNothing() {
    store.commit(commit("a", new Condition("row", 0), new Write("row", "1")));

    Optional<String> refusal =
        store.commit(commit("b", new Condition("row", 0), new Write("other", "2")));

    assertTrue(refusal.isPresent());
    assertNull(store.get("other"));
  }

  @Test
  void rowWrittenAfterItsDeletionContinuesItsVersions() {
    store.commit(commit("a", new Condition("row", 0), new Write("row", "1")));
    store.commit(commit("b", new Condition("row", 1), new Write("row", null)));

    store.commit(commit("c", new Condition("row", 0), new Write("row", "2")));

    assertEquals(2, store.get("row").version());
  }

  private static Commit commit(String operation, Condition condition, Write write) {
    return new Commit(operation, List.of(condition), List.of(write));
  }
}
