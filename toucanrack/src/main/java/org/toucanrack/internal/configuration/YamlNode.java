package org.toucanrack.internal.configuration;

import java.util.List;
import java.util.Map;

/** A YAML value that knows its place in the file. Immutable and thread-safe. */
sealed interface YamlNode {

  /** Returns where the value starts. */
  Position position();

  /** Returns what kind of value it is, for messages. */
  String kind();

  /** A mapping, in declared order. */
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

  /** How YAML reads a single value. */
  enum ScalarType {
    TEXT,
    NUMBER,
    BOOLEAN,
    EMPTY
  }
}
