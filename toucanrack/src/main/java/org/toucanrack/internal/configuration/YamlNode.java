package org.toucanrack.internal.configuration;

import java.util.List;
import java.util.Map;

/** A YAML value with its position in the file. Immutable and thread-safe. */
sealed interface YamlNode {

  /** Returns the position where the value starts. */
  Position position();

  /** Returns a description of the value, for messages. */
  String kind();

  /** A mapping, with its fields in the order of declaration. */
  record Mapping(Position position, Map<String, YamlNode> fields) implements YamlNode {
    @Override
    public String kind() {
      return "a mapping";
    }
  }

  /** A list. */
  record Sequence(Position position, List<YamlNode> items) implements YamlNode {
    @Override
    public String kind() {
      return "a list";
    }
  }

  /** A single value, as written. */
  record Scalar(Position position, ScalarType type, String text) implements YamlNode {
    @Override
    public String kind() {
      return type == ScalarType.EMPTY ? "empty" : "'" + text + "'";
    }
  }

  /** The type that YAML assigns to a scalar. */
  enum ScalarType {
    TEXT,
    NUMBER,
    BOOLEAN,
    EMPTY
  }
}
