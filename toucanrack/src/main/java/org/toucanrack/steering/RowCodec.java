package org.toucanrack.steering;

import java.util.Optional;
import org.toucanrack.id.FailureDomainId;

/**
 * Decodes and encodes the rows of the platform's store. An empty result means that the row is
 * malformed or unknown and is to be treated as absent. Implementations are thread-safe.
 */
public interface RowCodec {

  /** Decodes a row of {@link SharedTable#ORDERS}. */
  Optional<Order> decodeOrder(SharedRow row);

  /** Decodes a row of {@link SharedTable#SERVERS}. */
  Optional<AnnouncedServer> decodeServer(SharedRow row);

  /**
   * Decodes which announcement of its server a row of {@link SharedTable#SERVERS} is; empty if the
   * server does not number its announcements.
   */
  Optional<AnnouncementNumber> decodeAnnouncementNumber(SharedRow row);

  /** Returns the key of the row in which the progress of a rollout is reported. */
  SharedRow.RowKey reportKey(RolloutProgress progress);

  /** Encodes the value of a row of {@link SharedTable#REPORTS}. */
  byte[] encodeReport(RolloutReport report);

  /** Decodes a row of {@link SharedTable#REPORTS}. */
  Optional<RolloutReport> decodeReport(SharedRow row);

  /** An order of the operators. */
  sealed interface Order {

    /** Use a configuration. */
    record Rules(SteeringRules rules) implements Order {}

    /** Roll out a version. */
    record Rollout(RolloutOrder order) implements Order {}

    /** Send no more requests to the servers of a failure domain. */
    record Evacuation(FailureDomainId failureDomain) implements Order {}
  }
}
