package org.toucanrack.internal.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.toucanrack.configuration.Deployment;

/**
 * Compares two deployments item by item for {@code toucanrack plan}. Stateless and thread-safe.
 *
 * <p>Each line starts with {@code +} for an added, {@code -} for a removed and {@code ~} for a
 * changed item.
 */
public final class ConfigurationDifference {

  private ConfigurationDifference() {}

  /** Returns one line per difference; empty if both are equal. */
  public static List<String> between(Optional<Deployment> current, Deployment declared) {
    Map<String, JsonNode> before = new TreeMap<>();
    current.ifPresent(deployment -> collect(deployment, before));
    Map<String, JsonNode> after = new TreeMap<>();
    collect(declared, after);
    TreeSet<String> items = new TreeSet<>(before.keySet());
    items.addAll(after.keySet());
    List<String> lines = new ArrayList<>();
    for (String item : items) {
      compare(item, before.get(item), after.get(item), lines);
    }
    return lines;
  }

  private static void collect(Deployment deployment, Map<String, JsonNode> items) {
    Iterator<Map.Entry<String, JsonNode>> fields = ConfigurationCodec.toTree(deployment).fields();
    while (fields.hasNext()) {
      Map.Entry<String, JsonNode> field = fields.next();
      if (field.getValue().isArray()) {
        field.getValue().forEach(item -> items.put(field.getKey() + " " + nameOf(item), item));
      } else {
        items.put(field.getKey(), field.getValue());
      }
    }
  }

  private static String nameOf(JsonNode item) {
    if (item.has("first")) {
      return item.get("first").asText() + "-" + item.get("second").asText();
    }
    boolean isVersion = item.has("declaration");
    return (isVersion ? item.get("service").asText() + " " : "") + item.get("id").asText();
  }

  private static void compare(String item, JsonNode before, JsonNode after, List<String> lines) {
    if (before == null) {
      lines.add("+ " + item);
    } else if (after == null) {
      lines.add("- " + item);
    } else if (!before.equals(after)) {
      lines.add("~ " + item + ": " + changes(before, after));
    }
  }

  private static String changes(JsonNode before, JsonNode after) {
    if (!before.isObject()) {
      return before + " -> " + after;
    }
    List<String> changes = new ArrayList<>();
    before
        .fieldNames()
        .forEachRemaining(
            field -> {
              if (!before.get(field).equals(after.get(field))) {
                changes.add(field + " " + before.get(field) + " -> " + after.get(field));
              }
            });
    return String.join(", ", changes);
  }
}
