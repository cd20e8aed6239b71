package org.toucanrack.steering;

import java.util.Optional;
import org.toucanrack.id.FailureDomainId;

/**
 * Turns rows of the platform's store into what they mean. An empty result means that the row cannot
 * be read, and that it is to be treated as absent. Implementations are thread-safe.
 */
public interface RowCodec {

  /** Decodes a row of {@link SharedTable#ORDERS}. */
  Optional<Order> decodeOrder(SharedRow row);

  /** Decodes a row of {@link SharedTable#SERVERS}. */
  Optional<AnnouncedServer> decodeServer(SharedRow row);

  /** Returns the row under which the progress of a rollout is reported. */
  SharedRow.RowKey reportKey(RolloutProgress progress);

  /** Encodes the report of a rollout. */
  byte[] encodeReport(RolloutReport report);

  /** Decodes a row of {@link SharedTable#REPORTS}. */
  Optional<RolloutReport> decodeReport(SharedRow row);

  /** Something that operators ask for. */
  sealed interface Order {

    /** The configuration. */
    record Rules(SteeringRules rules) implements Order {}

    /** A rollout. */
    record Rollout(RolloutOrder order) implements Order {}

    /** Nothing more is to be sent to the servers of a failure domain. */
    record Evacuation(FailureDomainId failureDomain) implements Order {}
  }
}
