package org.toucanrack.internal.coordination.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;

/**
 * The fields of the table row {@code configuration/current} that adoption uses. Immutable and
 * thread-safe.
 *
 * @param version the version number of the current configuration
 * @param hash SHA-256 of the body, 64 hexadecimal digits
 */
record CurrentVersion(long version, String hash) {

  static final String KEY = "configuration/current";

  private static final ObjectMapper MAPPER = new ObjectMapper();

  static CurrentVersion parse(String json) {
    try {
      JsonNode root = MAPPER.readTree(json);
      return new CurrentVersion(root.path("version").asLong(), root.path("hash").asText());
    } catch (JsonProcessingException e) {
      throw new ToucanrackException(
          ErrorCode.INTERNAL, "The row " + KEY + " cannot be read. Check who wrote it.", e);
    }
  }
}
