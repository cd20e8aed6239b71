package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {

  private final String text;
  private int position;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    return new Json(text).value();
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String separator = "";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator);
        write(String.valueOf(entry.getKey()), out);
        out.append(':');
        write(entry.getValue(), out);
        separator = ",";
      }
      out.append('}');
    } else if (value instanceof Iterable<?> list) {
      out.append('[');
      String separator = "";
      for (Object element : list) {
        out.append(separator);
        write(element, out);
        separator = ",";
      }
      out.append(']');
    } else if (value instanceof String string) {
      out.append('"');
      for (char c : string.toCharArray()) {
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }

  private Object value() {
    char c = next();
    switch (c) {
      case '{' -> {
        Map<String, Object> map = new LinkedHashMap<>();
        if (peek() == '}') {
          position++;
          return map;
        }
        do {
          expect('"');
          String name = string();
          expect(':');
          map.put(name, value());
        } while (next() == ',');
        return map;
      }
      case '[' -> {
        List<Object> list = new ArrayList<>();
        if (peek() == ']') {
          position++;
          return list;
        }
        do {
          list.add(value());
        } while (next() == ',');
        return list;
      }
      case '"' -> {
        return string();
      }
      default -> {
        int start = position - 1;
        while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) {
          position++;
        }
        String word = text.substring(start, position);
        return switch (word) {
          case "true" -> true;
          case "false" -> false;
          case "null" -> null;
          default ->
              word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
        };
      }
    }
  }

  private String string() {
    StringBuilder out = new StringBuilder();
    while (true) {
      char c = text.charAt(position++);
      if (c == '"') {
        return out.toString();
      }
      if (c == '\\') {
        char escaped = text.charAt(position++);
        switch (escaped) {
          case 'n' -> out.append('\n');
          case 't' -> out.append('\t');
          case 'r' -> out.append('\r');
          case 'u' -> {
            out.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
            position += 4;
          }
          default -> out.append(escaped);
        }
      } else {
        out.append(c);
      }
    }
  }

  private char peek() {
    while (Character.isWhitespace(text.charAt(position))) {
      position++;
    }
    return text.charAt(position);
  }

  private char next() {
    peek();
    return text.charAt(position++);
  }

  private void expect(char expected) {
    char c = next();
    if (c != expected) {
      throw new IllegalArgumentException("expected " + expected + " at " + position);
    }
  }
}
