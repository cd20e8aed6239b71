package org.toucanrack.internal.configuration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.configuration.Deployment;

/**
 * Reads the declared configuration from the {@code *.yaml} files of a directory.
 *
 * <p>Top-level lists with the same name are concatenated in the order of the file names; any other
 * top-level field may appear only once. Stateless and thread-safe.
 */
public final class ConfigurationDirectory {

  private static final String SUFFIX = ".yaml";

  private ConfigurationDirectory() {}

  /** Returns the declared deployment, or throws with all faults of all files. */
  public static Deployment read(Path directory) {
    Faults faults = new Faults();
    YamlNode.Mapping merged = merge(files(directory), faults);
    Deployment deployment = new DeploymentReader(faults).read(merged).orElse(null);
    faults.throwIfAny();
    return deployment;
  }

  private static List<Path> files(Path directory) {
    try (Stream<Path> entries = Files.list(directory)) {
      List<Path> files =
          entries.filter(file -> file.getFileName().toString().endsWith(SUFFIX)).sorted().toList();
      if (files.isEmpty()) {
        throw unreadable("The directory " + directory + " has no *.yaml file.", null);
      }
      return files;
    } catch (IOException e) {
      throw unreadable("The directory " + directory + " cannot be read.", e);
    }
  }

  private static ToucanrackException unreadable(String message, IOException cause) {
    return new ToucanrackException(
        ErrorCode.INVALID_CONFIGURATION,
        message + " Give the directory of the declared configuration with -f.",
        cause);
  }

  private static YamlNode.Mapping merge(List<Path> files, Faults faults) {
    Map<String, YamlNode> merged = new LinkedHashMap<>();
    for (Path file : files) {
      String name = file.getFileName().toString();
      new YamlReader(name, faults)
          .read(readText(file))
          .ifPresent(
              root ->
                  root.fields().forEach((field, node) -> mergeField(merged, field, node, faults)));
    }
    return new YamlNode.Mapping(new Position(files.get(0).getFileName().toString(), 1), merged);
  }

  private static void mergeField(
      Map<String, YamlNode> merged, String field, YamlNode node, Faults faults) {
    YamlNode earlier = merged.putIfAbsent(field, node);
    if (earlier instanceof YamlNode.Sequence first && node instanceof YamlNode.Sequence second) {
      List<YamlNode> joined = new ArrayList<>(first.items());
      joined.addAll(second.items());
      merged.put(field, new YamlNode.Sequence(first.position(), joined));
    } else if (earlier != null) {
      faults.add(
          node.position(),
          "'%s' is already given at %s. Remove one of them.".formatted(field, earlier.position()));
    }
  }

  private static String readText(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw unreadable("The file " + file + " cannot be read as UTF-8 text.", e);
    }
  }
}
