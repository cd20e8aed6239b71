package org.toucanrack.internal.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.toucanrack.platform.Row;

/**
 * Reads the rows of the failure domains, {@code domain/FD}. Fields that a row lacks are shown as
 * unknown, so that status works while VMs of two releases run. Stateless and thread-safe.
 */
final class FailureDomainRows {

  static final String KEY_PREFIX = "domain/";

  private static final long UNKNOWN_VERSION = -1;

  private FailureDomainRows() {}

  /**
   * One VM as its failure domain's row describes it.
   *
   * @param vm its name
   * @param failureDomain its failure domain
   * @param callersAddress address for callers
   * @param draining whether a planned stop is in progress
   * @param configurationVersion the version it uses; negative if the row lacks it
   */
  record MemberView(
      String vm,
      String failureDomain,
      String callersAddress,
      boolean draining,
      long configurationVersion) {

    String versionText() {
      return configurationVersion < 0 ? "unknown" : Long.toString(configurationVersion);
    }
  }

  static List<MemberView> members(List<Row> rows) {
    List<MemberView> members = new ArrayList<>();
    for (Row row : rows) {
      String failureDomain = row.key().substring(KEY_PREFIX.length());
      for (JsonNode member : JsonRowStore.parseOrDescribe(row).path("members")) {
        members.add(
            new MemberView(
                member.path("vm").asText("unknown"),
                failureDomain,
                member.path("callersAddress").asText("unknown"),
                member.path("draining").asBoolean(),
                member.path("configurationVersion").asLong(UNKNOWN_VERSION)));
      }
    }
    return members;
  }
}
