package org.toucanrack.internal.configuration;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.annotation.JsonSerialize;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.configuration.Route;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.RouteId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/**
 * Encodes configurations as canonical JSON: equal configurations have equal bytes, so the SHA-256
 * of the bytes identifies a configuration. Stateless and thread-safe.
 */
public final class ConfigurationCodec {

  private static final int FORMAT_VERSION = 1;
  private static final ObjectMapper MAPPER = createMapper();

  private ConfigurationCodec() {}

  /** Returns the canonical bytes. */
  public static byte[] encode(Configuration configuration) {
    try {
      return MAPPER.writeValueAsBytes(toNode(configuration));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a configuration cannot be encoded", e);
    }
  }

  /** Returns the canonical JSON with indentation, for display. */
  public static String encodeIndented(Configuration configuration) {
    return toNode(configuration).toPrettyString();
  }

  /** Decodes canonical bytes, or throws with {@code INVALID_CONFIGURATION}. */
  public static Configuration decode(byte[] body) {
    try {
      JsonNode node = MAPPER.readTree(body);
      int format = node.path("format").asInt();
      if (format != FORMAT_VERSION) {
        throw unreadable(
            "has format " + format + "; this program reads format " + FORMAT_VERSION, null);
      }
      return MAPPER.treeToValue(((ObjectNode) node).without("format"), Configuration.class);
    } catch (IOException | ClassCastException e) {
      throw unreadable("cannot be read", e);
    }
  }

  /** Returns the SHA-256 of canonical bytes as 64 hexadecimal digits. */
  public static String hash(byte[] body) {
    return Sha256.hex(body);
  }

  /**
   * Decodes canonical bytes from the object store or a peer. Throws with {@code
   * INVALID_CONFIGURATION} if their hash differs or if they cannot be decoded.
   */
  public static Configuration decodeVerified(byte[] body, String expectedHash) {
    if (!hash(body).equals(expectedHash)) {
      throw new ToucanrackException(
          ErrorCode.INVALID_CONFIGURATION,
          "The body of the configuration does not match its hash " + expectedHash + ".");
    }
    return decode(body);
  }

  /** Returns a deployment as a tree, with fields in the order of the record components. */
  static JsonNode toTree(Deployment deployment) {
    return MAPPER.valueToTree(deployment);
  }

  private static ToucanrackException unreadable(String problem, Exception cause) {
    return new ToucanrackException(
        ErrorCode.INVALID_CONFIGURATION,
        "The body of the configuration " + problem + ". Use the release that wrote it.",
        cause);
  }

  private static ObjectNode toNode(Configuration configuration) {
    ObjectNode node = MAPPER.createObjectNode().put("format", FORMAT_VERSION);
    node.setAll((ObjectNode) MAPPER.valueToTree(configuration));
    return node;
  }

  private static ObjectMapper createMapper() {
    SimpleModule ids = new SimpleModule("ids");
    addId(ids, BackendServerId.class, BackendServerId::new);
    addId(ids, CustomerId.class, CustomerId::new);
    addId(ids, FailureDomainId.class, FailureDomainId::new);
    addId(ids, RegionId.class, RegionId::new);
    addId(ids, RouteId.class, RouteId::new);
    addId(ids, ServiceId.class, ServiceId::new);
    addId(ids, VersionId.class, VersionId::new);
    return JsonMapper.builder()
        .addModules(new Jdk8Module(), new JavaTimeModule(), ids)
        .addMixIn(Route.class, RouteMixin.class)
        .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
        .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
        .disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS)
        .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
        .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
        .build();
  }

  private static <T> void addId(
      SimpleModule module, Class<T> type, Function<String, T> constructor) {
    module.addSerializer(type, ToStringSerializer.instance);
    module.addDeserializer(type, new IdDeserializer<>(type, constructor));
  }

  private abstract static class RouteMixin {
    @JsonSerialize(using = SortedSetSerializer.class)
    abstract Set<String> methods();
  }

  /** Writes sets in sorted order, since their iteration order may differ between processes. */
  private static final class SortedSetSerializer extends StdSerializer<Set<String>> {

    private static final long serialVersionUID = 1L;

    SortedSetSerializer() {
      super(Set.class, false);
    }

    @Override
    public void serialize(Set<String> set, JsonGenerator generator, SerializerProvider provider)
        throws IOException {
      generator.writeStartArray();
      for (String item : new TreeSet<>(set)) {
        generator.writeString(item);
      }
      generator.writeEndArray();
    }
  }

  /** Creates an id from its text. */
  private static final class IdDeserializer<T> extends StdDeserializer<T> {

    private static final long serialVersionUID = 1L;

    private final transient Function<String, T> constructor;

    IdDeserializer(Class<T> type, Function<String, T> constructor) {
      super(type);
      this.constructor = constructor;
    }

    @Override
    public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
      return constructor.apply(parser.getValueAsString());
    }
  }
}
