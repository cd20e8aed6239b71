package org.toucanrack.internal.coordination.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.state.Member;

/** Writes and reads domain rows as JSON. Stateless and thread-safe. */
public final class DomainRowCodec {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private DomainRowCodec() {}

  /** Returns the JSON text of a row. */
  public static String encode(DomainRow row) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("failureDomain", row.failureDomain().value());
    root.put("generation", row.generation());
    root.put("lastEpoch", row.lastEpoch());
    root.put("configurationVersion", row.configurationVersion());
    root.put("operation", row.operation());
    ArrayNode members = root.putArray("members");
    row.members().values().stream()
        .sorted(Comparator.comparing(member -> member.member().incarnation().toString()))
        .forEach(member -> encodeMember(member, members.addObject()));
    ObjectNode resources = root.putObject("resources");
    row.assignments()
        .forEach((id, assignment) -> encodeAssignment(assignment, resources.putObject(id.value())));
    return write(root);
  }

  private static String write(ObjectNode root) {
    try {
      return MAPPER.writeValueAsString(root);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("failed to encode a domain row as JSON", e);
    }
  }

  private static void encodeMember(RowMember member, ObjectNode node) {
    node.put("vm", member.member().incarnation().vm().value());
    node.put("incarnation", Long.toHexString(member.member().incarnation().number()));
    node.put("callersAddress", member.member().callersAddress());
    node.put("peersAddress", member.member().peersAddress());
    node.put("counter", member.renewalCounter());
    node.put("configurationVersion", member.configurationVersion());
    if (member.member().draining()) {
      node.put("draining", true);
    }
  }

  private static void encodeAssignment(ResourceAssignment assignment, ObjectNode node) {
    assignment.owner().ifPresent(owner -> node.put("owner", owner.toString()));
    node.put("epoch", assignment.epoch());
    if (assignment.quarantineMillis() > 0) {
      node.put("quarantineMillis", assignment.quarantineMillis());
    }
    if (assignment.releasing()) {
      node.put("releasing", true);
    }
  }

  /**
   * Reads the JSON text of a row.
   *
   * @throws ToucanrackException with {@link ErrorCode#INTERNAL} if the text is not a domain row
   */
  public static DomainRow decode(String text) {
    try {
      JsonNode root = MAPPER.readTree(text);
      FailureDomainId domain = new FailureDomainId(root.path("failureDomain").asText());
      return new DomainRow(
          domain,
          root.path("generation").asLong(),
          root.path("lastEpoch").asLong(),
          root.path("configurationVersion").asLong(),
          root.path("operation").asText(),
          decodeMembers(root.path("members"), domain),
          decodeAssignments(root.path("resources")));
    } catch (JsonProcessingException | IllegalArgumentException e) {
      throw new ToucanrackException(
          ErrorCode.INTERNAL, "A domain row cannot be read. Check which program wrote it.", e);
    }
  }

  private static Map<Incarnation, RowMember> decodeMembers(JsonNode nodes, FailureDomainId domain) {
    Map<Incarnation, RowMember> members = new HashMap<>();
    for (JsonNode node : nodes) {
      long number = Long.parseLong(node.path("incarnation").asText(), 16);
      Incarnation incarnation = new Incarnation(new VmId(node.path("vm").asText()), number);
      Member member =
          new Member(
              incarnation,
              domain,
              node.path("callersAddress").asText(),
              node.path("peersAddress").asText(),
              node.path("draining").asBoolean());
      members.put(
          incarnation,
          new RowMember(
              member, node.path("counter").asLong(), node.path("configurationVersion").asLong()));
    }
    return members;
  }

  private static SortedMap<ResourceId, ResourceAssignment> decodeAssignments(JsonNode nodes) {
    SortedMap<ResourceId, ResourceAssignment> assignments = new TreeMap<>();
    nodes
        .fields()
        .forEachRemaining(
            entry ->
                assignments.put(
                    new ResourceId(entry.getKey()), decodeAssignment(entry.getValue())));
    return assignments;
  }

  private static ResourceAssignment decodeAssignment(JsonNode node) {
    Optional<Incarnation> owner =
        node.has("owner")
            ? Optional.of(decodeIncarnation(node.path("owner").asText()))
            : Optional.empty();
    return new ResourceAssignment(
        owner,
        node.path("epoch").asLong(),
        node.path("quarantineMillis").asLong(),
        node.path("releasing").asBoolean());
  }

  private static Incarnation decodeIncarnation(String text) {
    int slash = text.lastIndexOf('/');
    return new Incarnation(
        new VmId(text.substring(0, slash)), Long.parseLong(text.substring(slash + 1), 16));
  }
}
