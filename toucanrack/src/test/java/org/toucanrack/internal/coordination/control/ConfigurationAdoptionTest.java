package org.toucanrack.internal.coordination.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class ConfigurationAdoptionTest {

  private final ConfigurationAdoption adoption =
      new ConfigurationAdoption(FakeConfiguration::decode, 0);

  private boolean arrives(long version, int servers) {
    byte[] body = FakeConfiguration.body(servers);
    return adoption.onBodyReceived(version, ConfigurationAdoption.sha256(body), body, 0);
  }

  /** Guards against a return to an old version when its body arrives late. */
  @Test
  void onlyHigherVersionsAreAdopted() {
    boolean first = arrives(2, 5);
    boolean lower = arrives(1, 4);
    boolean same = arrives(2, 4);

    assertTrue(first);
    assertFalse(lower);
    assertFalse(same);
    assertEquals(2, adoption.version());
  }

  /** Guards against corrupt bodies, and against one undecodable body that blocks later versions. */
  @Test
  void damagedAndUnreadableBodiesAreNotAdopted() {
    boolean damaged = adoption.onBodyReceived(1, "00", FakeConfiguration.body(4), 0);
    byte[] unreadable = "not a number".getBytes(java.nio.charset.StandardCharsets.UTF_8);
    boolean read =
        adoption.onBodyReceived(1, ConfigurationAdoption.sha256(unreadable), unreadable, 0);

    assertFalse(damaged);
    assertFalse(read);
    assertTrue(arrives(2, 5));
  }

  /** Guards against a proof of freshness by a read of a version that is not adopted yet. */
  @Test
  void proofCountsOnceItsVersionIsAdopted() {
    KeyFreshnessTracker proof = new KeyFreshnessTracker();
    long second = 1_000_000_000L;

    proof.onAdopted(1);
    proof.observeVersion(1, second);
    proof.observeVersion(2, 3 * second);
    final long before = proof.ageMillis(4 * second);
    proof.onAdopted(2);

    assertEquals(3_000, before);
    assertEquals(1_000, proof.ageMillis(4 * second));
    assertEquals(-1, new KeyFreshnessTracker().ageMillis(0));
  }

  /** Guards against store reads by all VMs for a body that they already got from a peer. */
  @Test
  void nothingIsFetchedWithoutHigherVersion() {
    arrives(3, 5);

    adoption.observeStoreVersion(new CurrentVersion(3, "aa"), 0);

    assertEquals(Optional.empty(), adoption.startFetchIfDue(0));
  }
}
