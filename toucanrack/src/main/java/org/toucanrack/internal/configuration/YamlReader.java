package org.toucanrack.internal.configuration;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Parses one YAML file into nodes with positions. Jackson's own trees have no positions, so this
 * class builds the tree from the tokens of the parser. Not thread-safe.
 */
final class YamlReader {

  // Words such as 'yes' and 'on' are read as texts, so that they are reported in boolean fields.
  private static final YAMLFactory FACTORY =
      YAMLFactory.builder().enable(YAMLParser.Feature.PARSE_BOOLEAN_LIKE_WORDS_AS_STRINGS).build();

  private final String file;
  private final Faults faults;

  YamlReader(String file, Faults faults) {
    this.file = file;
    this.faults = faults;
  }

  /** Returns the top-level mapping, or empty if the file has none. */
  Optional<YamlNode.Mapping> read(String text) {
    try (YAMLParser parser = FACTORY.createParser(text)) {
      JsonToken first = parser.nextToken();
      if (first != JsonToken.START_OBJECT) {
        faults.add(new Position(file, 1), "The file has no fields. Write 'FIELD: VALUE' lines.");
        return Optional.empty();
      }
      YamlNode.Mapping root = mapping(parser);
      if (parser.nextToken() != null) {
        faults.add(position(parser), "The file has a second document. Use one file for each.");
      }
      return Optional.of(root);
    } catch (JsonProcessingException e) {
      addSyntaxFault(e);
    } catch (IOException e) {
      faults.add(new Position(file, 1), "The file cannot be read: " + e.getMessage());
    }
    return Optional.empty();
  }

  private void addSyntaxFault(JsonProcessingException e) {
    int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
    String problem = e.getOriginalMessage();
    if (e.getCause() instanceof org.yaml.snakeyaml.error.MarkedYAMLException marked) {
      line = marked.getProblemMark() == null ? line : marked.getProblemMark().getLine() + 1;
      problem = marked.getProblem();
    }
    faults.add(new Position(file, line), "This is not valid YAML (" + problem + "). Correct it.");
  }

  private YamlNode.Mapping mapping(YAMLParser parser) throws IOException {
    Position start = position(parser);
    Map<String, YamlNode> fields = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      Position fieldPosition = position(parser);
      parser.nextToken();
      if (fields.putIfAbsent(name, node(parser)) != null) {
        faults.add(fieldPosition, "Field '" + name + "' is given twice. Remove one of them.");
      }
    }
    return new YamlNode.Mapping(start, fields);
  }

  private YamlNode.Sequence sequence(YAMLParser parser) throws IOException {
    Position start = position(parser);
    List<YamlNode> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(node(parser));
    }
    return new YamlNode.Sequence(start, items);
  }

  private YamlNode node(YAMLParser parser) throws IOException {
    if (parser.isCurrentAlias()) {
      faults.add(position(parser), "Aliases are not supported. Write the value out.");
    }
    return switch (parser.currentToken()) {
      case START_OBJECT -> mapping(parser);
      case START_ARRAY -> sequence(parser);
      case VALUE_TRUE, VALUE_FALSE -> scalar(parser, YamlNode.ScalarType.BOOLEAN);
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> scalar(parser, YamlNode.ScalarType.NUMBER);
      case VALUE_NULL -> scalar(parser, YamlNode.ScalarType.EMPTY);
      default -> scalar(parser, YamlNode.ScalarType.TEXT);
    };
  }

  private YamlNode scalar(YAMLParser parser, YamlNode.ScalarType type) throws IOException {
    return new YamlNode.Scalar(position(parser), type, parser.getText());
  }

  private Position position(JsonParser parser) {
    return new Position(file, parser.currentTokenLocation().getLineNr());
  }
}
