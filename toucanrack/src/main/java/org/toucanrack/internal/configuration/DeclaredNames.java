package org.toucanrack.internal.configuration;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** The declared names of one kind, with their positions. Not thread-safe. */
class DeclaredNames<T> {

  private final String kind;
  private final Map<T, Position> positions = new LinkedHashMap<>();

  DeclaredNames(String kind) {
    this.kind = kind;
  }

  /** Returns an instance that contains every name, for references that cannot be checked. */
  static <T> DeclaredNames<T> acceptingAny() {
    return new DeclaredNames<>("name") {
      @Override
      boolean contains(T name) {
        return true;
      }
    };
  }

  String kind() {
    return kind;
  }

  /** Adds a name; returns false if it is already declared. */
  boolean add(T name, Position position) {
    return positions.putIfAbsent(name, position) == null;
  }

  boolean contains(T name) {
    return positions.containsKey(name);
  }

  Position position(T name) {
    return positions.get(name);
  }

  Set<T> all() {
    return positions.keySet();
  }

  String joined() {
    if (positions.isEmpty()) {
      return "(none is declared)";
    }
    return positions.keySet().stream().map(Object::toString).collect(Collectors.joining(", "));
  }
}
