package org.toucanrack.internal.state;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.function.Function;
import org.toucanrack.id.MoveId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/**
 * Creates JSON mappers that write ids in stored records as plain strings. Stateless and
 * thread-safe.
 */
public final class JsonIds {

  private JsonIds() {}

  /**
   * Returns a mapper for stored records; it ignores unknown fields, which later releases may write.
   */
  public static ObjectMapper mapper() {
    SimpleModule module = new SimpleModule();
    add(module, MoveId.class, MoveId::new);
    add(module, ServiceId.class, ServiceId::new);
    add(module, VersionId.class, VersionId::new);
    return new ObjectMapper()
        .registerModule(module)
        .registerModule(new Jdk8Module())
        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
  }

  private static <T> void add(SimpleModule module, Class<T> type, Function<String, T> parse) {
    module.addSerializer(type, ToStringSerializer.instance);
    module.addDeserializer(type, new IdDeserializer<>(type, parse));
  }

  private static final class IdDeserializer<T> extends StdDeserializer<T> {

    private static final long serialVersionUID = 1L;

    private final transient Function<String, T> parse;

    private IdDeserializer(Class<T> type, Function<String, T> parse) {
      super(type);
      this.parse = parse;
    }

    @Override
    public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
      return parse.apply(parser.getText());
    }
  }
}
