package org.toucanrack.internal.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.toucanrack.internal.command.FailureDomainRows.MemberView;
import org.toucanrack.internal.command.VmStatusClient.VmStatus;
import org.toucanrack.internal.configuration.ConfigurationStore;
import org.toucanrack.platform.Platform;
import org.toucanrack.platform.Row;
import org.toucanrack.platform.StoreAnswer;

/**
 * The state of a deployment, as collected by one run of the command. Immutable and thread-safe.
 *
 * <p>If the platform does not return a part, the report gives the reason and shows the other parts,
 * since operators need the report most during failures.
 *
 * @param configuration rows with the current version, none or one
 * @param domains rows of the failure domains
 * @param moves rows of the moves
 * @param rollouts rows of the rollouts
 * @param drains rows of the drains
 * @param vms responses from the operators' ports
 */
record StatusReport(
    StoreAnswer<List<Row>> configuration,
    StoreAnswer<List<Row>> domains,
    StoreAnswer<List<Row>> moves,
    StoreAnswer<List<Row>> rollouts,
    StoreAnswer<List<Row>> drains,
    List<VmStatus> vms) {

  static StatusReport collect(Platform platform, List<VmStatus> vms) {
    return new StatusReport(
        list(platform, ConfigurationStore.CURRENT_KEY),
        list(platform, FailureDomainRows.KEY_PREFIX),
        list(platform, MoveCommand.KEY_PREFIX),
        list(platform, "rollout/"),
        list(platform, DrainCommand.KEY_PREFIX),
        vms);
  }

  private static StoreAnswer<List<Row>> list(Platform platform, String prefix) {
    return platform.tables().list(prefix).toCompletableFuture().join();
  }

  /** Returns whether the platform and all VMs answered. */
  boolean isComplete() {
    return problem().isEmpty() && vms.stream().allMatch(VmStatus::answered);
  }

  String toJson() {
    ObjectNode report = JsonRowStore.JSON.createObjectNode();
    rows(configuration)
        .forEach(row -> report.set("configuration", JsonRowStore.parseOrDescribe(row)));
    putRows(report.putArray("domains"), domains);
    putRows(report.putArray("moves"), moves);
    putRows(report.putArray("rollouts"), rollouts);
    putRows(report.putArray("drains"), drains);
    ArrayNode answers = report.putArray("vms");
    for (VmStatus vm : vms) {
      ObjectNode answer = answers.addObject().put("address", vm.address());
      if (vm.answered()) {
        answer.set("status", vm.status());
      } else {
        answer.put("problem", vm.problem());
      }
    }
    problem().ifPresent(text -> report.put("problem", text));
    return report.toPrettyString();
  }

  String toText() {
    StringBuilder text = new StringBuilder();
    problem().ifPresent(reason -> text.append("The platform did not answer: " + reason + "\n"));
    text.append("Configuration: ").append(describeConfiguration()).append('\n');
    appendSection(text, "VMs", domains, members().stream().map(StatusReport::describe).toList());
    appendSection(text, "Moves", moves, describe(moves, MoveText::describe));
    appendSection(text, "Rollouts", rollouts, describe(rollouts, StatusReport::describeRollout));
    appendSection(text, "Drains", drains, describe(drains, StatusReport::describeDrain));
    text.append("Operators' ports asked: ").append(vms.size()).append('\n');
    vms.forEach(vm -> text.append("  ").append(describe(vm)).append('\n'));
    return text.toString().stripTrailing();
  }

  private Optional<String> problem() {
    for (StoreAnswer<List<Row>> answer : List.of(configuration, domains, moves, rollouts, drains)) {
      if (answer instanceof StoreAnswer.Unknown<List<Row>> unknown) {
        return Optional.of(unknown.reason());
      }
    }
    return Optional.empty();
  }

  private List<MemberView> members() {
    return FailureDomainRows.members(rows(domains));
  }

  private String describeConfiguration() {
    return rows(configuration).stream()
        .map(JsonRowStore::parseOrDescribe)
        .map(
            row ->
                "version %d, based on %d, written by %s"
                    .formatted(
                        row.path("version").asLong(),
                        row.path("basedOn").asLong(),
                        row.path("writer").asText()))
        .findFirst()
        .orElse(configuration.isDone() ? "none accepted yet" : "unknown");
  }

  private interface Describer {
    String describe(JsonNode value);
  }

  private static List<String> describe(StoreAnswer<List<Row>> answer, Describer describer) {
    return rows(answer).stream()
        .map(
            row -> {
              String name = row.key().substring(row.key().indexOf('/') + 1);
              JsonNode value = JsonRowStore.parseOrDescribe(row);
              boolean readable = !value.has("unreadable");
              return name + ": " + (readable ? describer.describe(value) : "not a JSON object");
            })
        .toList();
  }

  private static String describe(MemberView member) {
    String draining = member.draining() ? ", draining" : "";
    return "%s in %s: callers at %s, configuration %s%s"
        .formatted(
            member.vm(),
            member.failureDomain(),
            member.callersAddress(),
            member.versionText(),
            draining);
  }

  private static String describe(VmStatus vm) {
    return vm.address() + ": " + (vm.answered() ? vm.status() : "no answer, " + vm.problem());
  }

  private static String describeRollout(JsonNode rollout) {
    return "%s, share %s. %s"
        .formatted(
            rollout.path("state").asText(),
            rollout.path("share").asText(),
            rollout.path("reason").asText());
  }

  private static String describeDrain(JsonNode drain) {
    return "since %s, by %s"
        .formatted(drain.path("since").asText(), drain.path("operator").asText());
  }

  private static void appendSection(
      StringBuilder text, String title, StoreAnswer<List<Row>> answer, List<String> lines) {
    String count = answer.isDone() ? Integer.toString(lines.size()) : "unknown";
    text.append(title).append(": ").append(count).append('\n');
    lines.forEach(line -> text.append("  ").append(line).append('\n'));
  }

  private static void putRows(ArrayNode array, StoreAnswer<List<Row>> answer) {
    for (Row row : rows(answer)) {
      array.addObject().put("key", row.key()).set("value", JsonRowStore.parseOrDescribe(row));
    }
  }

  private static List<Row> rows(StoreAnswer<List<Row>> answer) {
    return answer instanceof StoreAnswer.Done<List<Row>> done ? done.value() : List.of();
  }
}
