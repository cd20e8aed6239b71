package org.toucanrack.internal.configuration;

import java.math.BigDecimal;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.toucanrack.ToucanrackException;

/**
 * Reads the fields of one mapping. An invalid field is reported and replaced by a placeholder, so
 * that all faults are found in one pass. Not thread-safe.
 */
final class Section {

  private static final String PLACEHOLDER = "invalid";

  private final YamlNode.Mapping mapping;
  private final String title;
  private final Faults faults;
  private final Set<String> knownFields = new LinkedHashSet<>();

  Section(YamlNode.Mapping mapping, String title, Faults faults) {
    this.mapping = mapping;
    this.title = title;
    this.faults = faults;
  }

  Position position() {
    return mapping.position();
  }

  Position position(String field) {
    YamlNode node = mapping.fields().get(field);
    return node == null ? mapping.position() : node.position();
  }

  boolean has(String field) {
    knownFields.add(field);
    return mapping.fields().containsKey(field);
  }

  /** Reports a fault of one field. */
  void addFault(String field, String message) {
    faults.add(position(field), prefix() + message);
  }

  /** Reads a text. Empty if it is missing or not a text, which is reported. */
  Optional<String> text(String field, String example) {
    return scalar(field, YamlNode.ScalarType.TEXT, "a text, for example " + example)
        .map(YamlNode.Scalar::text);
  }

  /** Reads a name and checks it with the constructor of its id type. */
  <T> Optional<T> name(String field, String example, Function<String, T> idType) {
    Optional<YamlNode.Scalar> node =
        scalar(field, YamlNode.ScalarType.TEXT, "a name, for example " + example);
    return node.flatMap(scalar -> id(scalar, idType));
  }

  /** Reads a name that is unique among the names of its kind. */
  <T> T uniqueName(
      String field, String example, Function<String, T> idType, DeclaredNames<T> names) {
    Optional<T> id = name(field, example, idType);
    if (id.isPresent() && !names.add(id.get(), position(field))) {
      addFault(
          field,
          "the name '%s' is already used at %s. Choose another name."
              .formatted(id.get(), names.position(id.get())));
    }
    return id.orElseGet(() -> idType.apply(PLACEHOLDER));
  }

  /** Reads a reference to a declared name. */
  <T> T reference(String field, Function<String, T> idType, DeclaredNames<T> names) {
    Optional<YamlNode.Scalar> node =
        scalar(field, YamlNode.ScalarType.TEXT, "the name of a " + names.kind());
    Optional<T> id = node.flatMap(scalar -> id(scalar, idType));
    id.ifPresent(value -> checkReference(position(field), value, names));
    return id.orElseGet(() -> idType.apply(PLACEHOLDER));
  }

  <T> void checkReference(Position position, T id, DeclaredNames<T> names) {
    if (!names.contains(id)) {
      faults.add(
          position,
          "%sthere is no %s '%s'. Write one of: %s."
              .formatted(prefix(), names.kind(), id, names.joined()));
    }
  }

  long integer(String field, long min, long max) {
    String expected = "a whole number from " + min + " to " + max;
    Optional<YamlNode.Scalar> node = scalar(field, YamlNode.ScalarType.NUMBER, expected);
    Optional<BigDecimal> value = node.flatMap(scalar -> number(field, scalar, expected));
    if (value.isEmpty()) {
      return min;
    }
    BigDecimal number = value.get();
    boolean whole = number.stripTrailingZeros().scale() <= 0;
    if (!whole || isOutside(number, BigDecimal.valueOf(min), BigDecimal.valueOf(max))) {
      addWrongValue(field, node.get(), expected);
      return min;
    }
    return number.longValueExact();
  }

  long integerOr(String field, long min, long max, long defaultValue) {
    return has(field) ? integer(field, min, max) : defaultValue;
  }

  double decimal(String field, String min, String max) {
    String expected = "a number from " + min + " to " + max;
    Optional<YamlNode.Scalar> node = scalar(field, YamlNode.ScalarType.NUMBER, expected);
    Optional<BigDecimal> value = node.flatMap(scalar -> number(field, scalar, expected));
    if (value.isPresent() && isOutside(value.get(), new BigDecimal(min), new BigDecimal(max))) {
      addWrongValue(field, node.get(), expected);
    }
    return value.orElse(new BigDecimal(min)).doubleValue();
  }

  double decimalOr(String field, String min, String max, double defaultValue) {
    return has(field) ? decimal(field, min, max) : defaultValue;
  }

  boolean flag(String field) {
    return scalar(field, YamlNode.ScalarType.BOOLEAN, "true or false")
        .map(scalar -> scalar.text().equalsIgnoreCase("true"))
        .orElse(false);
  }

  boolean flagOr(String field, boolean defaultValue) {
    return has(field) ? flag(field) : defaultValue;
  }

  Optional<Instant> instant(String field) {
    if (!has(field)) {
      return Optional.empty();
    }
    String expected = "a time in UTC, for example 2027-01-31T18:00:00Z";
    Optional<YamlNode.Scalar> node = scalar(field, YamlNode.ScalarType.TEXT, expected);
    try {
      return node.map(scalar -> Instant.parse(scalar.text()));
    } catch (DateTimeParseException e) {
      addWrongValue(field, node.get(), expected);
      return Optional.empty();
    }
  }

  /** Reads a list of texts with their positions. */
  List<YamlNode.Scalar> texts(String field, String example) {
    List<YamlNode.Scalar> texts = new ArrayList<>();
    for (YamlNode item : items(field, "a list, for example " + example)) {
      if (item instanceof YamlNode.Scalar scalar && scalar.type() == YamlNode.ScalarType.TEXT) {
        texts.add(scalar);
      } else {
        addWrongValue(field, item, "a list of texts, for example " + example);
      }
    }
    return texts;
  }

  /** Reads a list of texts as ids. */
  <T> List<T> ids(String field, String example, Function<String, T> idType) {
    return texts(field, example).stream().flatMap(scalar -> id(scalar, idType).stream()).toList();
  }

  /** Reads a list of mappings; an absent list is empty. */
  List<Section> sections(String field, String kind) {
    if (!has(field)) {
      return List.of();
    }
    List<Section> sections = new ArrayList<>();
    for (YamlNode item : items(field, "a list of mappings")) {
      if (item instanceof YamlNode.Mapping child) {
        sections.add(new Section(child, childTitle(child, kind), faults));
      } else {
        addWrongValue(field, item, "a list of mappings, each starting with '- name: '");
      }
    }
    return sections;
  }

  /** Reads a mapping; an absent one is empty. */
  Optional<Section> section(String field) {
    if (!has(field)) {
      return Optional.empty();
    }
    YamlNode node = mapping.fields().get(field);
    if (node instanceof YamlNode.Mapping child) {
      return Optional.of(
          new Section(child, title.isEmpty() ? field : title + ", " + field, faults));
    }
    addWrongValue(field, node, "a mapping of fields");
    return Optional.empty();
  }

  /** Reads a mapping; reports a fault if it is absent. */
  Optional<Section> requiredSection(String field) {
    if (!has(field)) {
      addFault(field, "the field '" + field + "' is missing. Write a mapping of fields.");
    }
    return section(field);
  }

  Set<String> fieldNames() {
    return mapping.fields().keySet();
  }

  /** Reads the name of a field as an id. */
  <T> Optional<T> fieldAsId(String field, Function<String, T> idType) {
    YamlNode.Scalar name = new YamlNode.Scalar(position(field), YamlNode.ScalarType.TEXT, field);
    return id(name, idType);
  }

  /** Reports each field that was not read. Call it after all fields are read. */
  void rejectUnknownFields() {
    for (String field : mapping.fields().keySet()) {
      if (!knownFields.contains(field)) {
        addFault(
            field,
            "there is no field '%s'. Remove it or write one of: %s."
                .formatted(field, String.join(", ", knownFields)));
      }
    }
  }

  private String prefix() {
    return title.isEmpty() ? "" : title + ": ";
  }

  private String childTitle(YamlNode.Mapping child, String kind) {
    boolean named = child.fields().get("name") instanceof YamlNode.Scalar;
    String own =
        named ? kind + " '" + ((YamlNode.Scalar) child.fields().get("name")).text() + "'" : kind;
    return title.isEmpty() ? own : title + ", " + own;
  }

  private List<YamlNode> items(String field, String expected) {
    knownFields.add(field);
    YamlNode node = mapping.fields().get(field);
    if (node instanceof YamlNode.Sequence sequence) {
      return sequence.items();
    }
    if (node == null) {
      addFault(field, "the field '" + field + "' is missing. Write " + expected + ".");
    } else {
      addWrongValue(field, node, expected);
    }
    return List.of();
  }

  private Optional<YamlNode.Scalar> scalar(
      String field, YamlNode.ScalarType type, String expected) {
    knownFields.add(field);
    YamlNode node = mapping.fields().get(field);
    if (node == null) {
      addFault(field, "the field '" + field + "' is missing. Write " + expected + ".");
      return Optional.empty();
    }
    if (node instanceof YamlNode.Scalar scalar && scalar.type() == type) {
      return Optional.of(scalar);
    }
    boolean unquoted = type == YamlNode.ScalarType.TEXT && node instanceof YamlNode.Scalar;
    addWrongValue(field, node, unquoted ? expected + ", in quotes" : expected);
    return Optional.empty();
  }

  private <T> Optional<T> id(YamlNode.Scalar scalar, Function<String, T> idType) {
    try {
      return Optional.of(idType.apply(scalar.text()));
    } catch (ToucanrackException e) {
      faults.add(scalar.position(), prefix() + e.getMessage());
      return Optional.empty();
    }
  }

  private Optional<BigDecimal> number(String field, YamlNode.Scalar scalar, String expected) {
    try {
      return Optional.of(new BigDecimal(scalar.text()));
    } catch (NumberFormatException e) {
      addWrongValue(field, scalar, expected);
      return Optional.empty();
    }
  }

  private static boolean isOutside(BigDecimal value, BigDecimal min, BigDecimal max) {
    return value.compareTo(min) < 0 || value.compareTo(max) > 0;
  }

  private void addWrongValue(String field, YamlNode node, String expected) {
    faults.add(
        node.position(),
        "%s'%s' is %s. Write %s.".formatted(prefix(), field, node.kind(), expected));
  }
}
