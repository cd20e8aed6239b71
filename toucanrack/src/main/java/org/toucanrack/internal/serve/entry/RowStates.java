package org.toucanrack.internal.serve.entry;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.toucanrack.steering.AnnouncedServer;
import org.toucanrack.steering.AnnouncementNumber;
import org.toucanrack.steering.RowCodec;
import org.toucanrack.steering.SharedRow;
import org.toucanrack.steering.SharedTable;

/**
 * Tells whether the store has a row in an earlier state than the known one, after it came back from
 * a copy. Remembers the last announcements of removed servers for this.
 *
 * <p>A row of a copy has a lower revision than its later states had, whereas a row that was written
 * after the restore may have any. Announcements are therefore compared by their numbers and
 * configurations by their versions, if they have any. Does no I/O. Confined to the control thread.
 */
final class RowStates {

  /**
   * Time for which the last announcement of a removed server is remembered; far longer than the age
   * of a copy, which is some seconds.
   */
  private static final long REMOVED_SERVER_MEMORY_NANOS = TimeUnit.MINUTES.toNanos(10);

  private final RowCodec codec;
  private final Map<SharedRow.RowKey, RemovedServer> removedServers = new HashMap<>();

  private record RemovedServer(SharedRow lastAnnouncement, long removedNanos) {}

  RowStates(RowCodec codec) {
    this.codec = codec;
  }

  /**
   * Returns whether the store's row is an earlier state than the known one, which therefore stays
   * in force.
   *
   * @param stored the store's row, without value if it lacks the row
   * @param known the row in force, without value if there is none
   */
  boolean isEarlier(SharedRow stored, SharedRow known) {
    return switch (known.key().table()) {
      case SERVERS -> isEarlierServer(stored, known);
      case ORDERS -> isEarlierOrder(stored, known);
      default -> false;
    };
  }

  /** Returns whether a server gets no requests, since it was removed or is draining. */
  boolean staysUnused(SharedRow server) {
    return server.isRemoved()
        || codec.decodeServer(server).map(AnnouncedServer::draining).orElse(false);
  }

  private boolean isEarlierServer(SharedRow stored, SharedRow known) {
    if (known.isRemoved()) {
      return !stored.isRemoved() && !isAnnouncedAfterRemoval(known, stored);
    }
    Optional<AnnouncedServer> server = codec.decodeServer(known);
    if (server.isEmpty()) {
      return false;
    }
    return stored.isRemoved()
        ? !server.get().draining()
        : codec.decodeServer(stored).isPresent() && compareAnnouncements(stored, known) < 0;
  }

  /** Returns whether the store's row of a server was written after the known removal. */
  private boolean isAnnouncedAfterRemoval(SharedRow removed, SharedRow stored) {
    RemovedServer server = removedServers.get(removed.key());
    return server == null
        ? stored.revision() >= removed.revision()
        : compareAnnouncements(stored, server.lastAnnouncement()) > 0;
  }

  /**
   * Compares two announcements of a server; by their revisions if they are not numbered. A row of a
   * copy has a lower revision than its later state had, whereas a row that was written in the later
   * epoch may have any.
   */
  private int compareAnnouncements(SharedRow stored, SharedRow known) {
    Optional<AnnouncementNumber> storedNumber = codec.decodeAnnouncementNumber(stored);
    Optional<AnnouncementNumber> knownNumber = codec.decodeAnnouncementNumber(known);
    return storedNumber.isPresent() && knownNumber.isPresent()
        ? storedNumber.get().compareTo(knownNumber.get())
        : Long.compare(stored.revision(), known.revision());
  }

  private boolean isEarlierOrder(SharedRow stored, SharedRow known) {
    if (Arrays.equals(known.value(), stored.value())) {
      return false;
    }
    OptionalLong knownVersion = rulesVersion(known);
    OptionalLong storedVersion = rulesVersion(stored);
    if (knownVersion.isPresent() && storedVersion.isPresent()) {
      return storedVersion.getAsLong() < knownVersion.getAsLong();
    }
    return stored.isRemoved() || stored.revision() < known.revision();
  }

  /** Returns whether the store has a server in an earlier run than the known one. */
  boolean isEarlierRun(SharedRow stored, SharedRow known) {
    if (known.key().table() != SharedTable.SERVERS || stored.isRemoved() || known.isRemoved()) {
      return false;
    }
    Optional<AnnouncementNumber> storedNumber = codec.decodeAnnouncementNumber(stored);
    Optional<AnnouncementNumber> knownNumber = codec.decodeAnnouncementNumber(known);
    return storedNumber.isPresent()
        && knownNumber.isPresent()
        && storedNumber.get().startedAtMillis() < knownNumber.get().startedAtMillis();
  }

  private OptionalLong rulesVersion(SharedRow row) {
    if (!row.isRemoved()
        && codec.decodeOrder(row).orElse(null) instanceof RowCodec.Order.Rules rules) {
      return OptionalLong.of(rules.rules().version());
    }
    return OptionalLong.empty();
  }

  /**
   * Returns whether a row that was written in the later epoch is an earlier state than the known
   * one nevertheless: a configuration with a lower version, or an announcement that is not later
   * than the last one of a removed or draining server.
   */
  boolean isEarlierWrite(SharedRow written, SharedRow kept) {
    if (written.isRemoved()) {
      return false;
    }
    if (kept.key().table() == SharedTable.SERVERS) {
      boolean bothNumbered =
          codec.decodeAnnouncementNumber(written).isPresent()
              && codec.decodeAnnouncementNumber(lastAnnouncement(kept)).isPresent();
      return bothNumbered && staysUnused(kept) && isEarlierServer(written, kept);
    }
    return rulesVersion(kept).isPresent()
        && rulesVersion(written).isPresent()
        && isEarlierOrder(written, kept);
  }

  /** Returns the last announcement of a server that was removed, or the row itself. */
  SharedRow lastAnnouncement(SharedRow kept) {
    return kept.isRemoved() && removedServers.containsKey(kept.key())
        ? removedServers.get(kept.key()).lastAnnouncement()
        : kept;
  }

  /** Remembers the last announcement of a server if its row is removed. */
  void rememberRemoval(SharedRow known, SharedRow row, long nowNanos) {
    if (row.key().table() == SharedTable.SERVERS && row.isRemoved() && !known.isRemoved()) {
      removedServers.put(row.key(), new RemovedServer(known, nowNanos));
    }
  }

  /** Remembers the last announcement of a server that another VM knows as removed. */
  void rememberRemovalIfUnknown(SharedRow lastAnnouncement, long nowNanos) {
    removedServers.putIfAbsent(
        lastAnnouncement.key(), new RemovedServer(lastAnnouncement, nowNanos));
  }

  /** Forgets the removal of a server that has announced itself again. */
  void forgetRemoval(SharedRow.RowKey key) {
    removedServers.remove(key);
  }

  /** Forgets removals of long ago, unless they are in use. */
  void forgetOldRemovals(Predicate<SharedRow.RowKey> inUse, long nowNanos) {
    removedServers
        .entrySet()
        .removeIf(
            server ->
                !inUse.test(server.getKey())
                    && nowNanos - server.getValue().removedNanos() > REMOVED_SERVER_MEMORY_NANOS);
  }

  /** Returns whether a server was removed after this announcement of it. */
  boolean wasRemovedSince(SharedRow announcement, boolean removed) {
    RemovedServer known = removedServers.get(announcement.key());
    return !removed
        && known != null
        && compareAnnouncements(announcement, known.lastAnnouncement()) <= 0;
  }
}
