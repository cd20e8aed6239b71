package org.toucanrack.internal.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.id.OperationId;

/**
 * One entry of the version sequence, as stored in {@code configuration/current} and {@code
 * configuration/version/N}. Immutable and thread-safe.
 *
 * @param version number of the version, from 1
 * @param hash SHA-256 of the body, which is stored as {@code configuration/HASH}
 * @param basedOn number of the previous version; 0 for the first
 * @param operation the operation that wrote the entry
 * @param writer operator who wrote it
 */
public record VersionRecord(
    long version, String hash, long basedOn, OperationId operation, String writer) {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Returns the name of the body in the object store. */
  public String objectName() {
    return "configuration/" + hash;
  }

  String encode() {
    return JSON.createObjectNode()
        .put("version", version)
        .put("hash", hash)
        .put("basedOn", basedOn)
        .put("operationId", operation.value())
        .put("writer", writer)
        .toString();
  }

  /** Decodes the value of a row, or throws with {@code INVALID_CONFIGURATION}. */
  public static VersionRecord decode(String value) {
    try {
      JsonNode node = JSON.readTree(value);
      return new VersionRecord(
          node.required("version").asLong(),
          node.required("hash").asText(),
          node.required("basedOn").asLong(),
          new OperationId(node.required("operationId").asText()),
          node.required("writer").asText());
    } catch (JsonProcessingException | IllegalArgumentException e) {
      throw new ToucanrackException(
          ErrorCode.INVALID_CONFIGURATION,
          "The version record '" + value + "' cannot be read. Use the release that wrote it.",
          e);
    }
  }
}
