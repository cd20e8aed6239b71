package org.toucanrack.bench.capacity;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPOutputStream;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.internal.configuration.ConfigurationCodec;

/** Size and CPU of configuration bodies against each kind of declaration. */
final class ConfigurationSlope implements Slope {

  private static final int DOMAINS = 47;
  private static final int BASE = 10;

  @Override
  public void measure(Scale scale, Figures figures) {
    // The first figures would otherwise include the time before the code is compiled.
    addTo(new Figures(scale).at("warm-up", "one", 1), fleet(BASE, BASE, BASE, BASE));
    for (int services : new int[] {12, 50, 200}) {
      int size = scale.of(services);
      addTo(figures.at("configuration", "services", size), fleet(size, BASE, BASE, BASE));
    }
    for (int size : new int[] {scale.of(250), scale.of(1_000), scale.of(4_000)}) {
      addTo(figures.at("configuration", "backend servers", size), fleet(BASE, size, BASE, BASE));
      addTo(figures.at("configuration", "customers", size), fleet(BASE, BASE, size, BASE));
      addTo(figures.at("configuration", "keys", size), fleet(BASE, BASE, BASE, size));
    }
    for (int eighths : new int[] {1, 4, 8}) {
      int size = scale.of(1_000 * eighths / 8);
      Fleet mix = fleet(scale.of(50 * eighths / 8), size, size, 2 * size);
      Figures.At at = figures.at("configuration", "target mix (customers)", size);
      addTo(at, mix);
      at.exact("gzip body", "B", gzipped(ConfigurationCodec.encode(mix.configuration())));
      at.retained("decoded", mix::configuration);
    }
  }

  private static Fleet fleet(int services, int servers, int customers, int keys) {
    return new Fleet(DOMAINS, 1, services, servers, customers, keys);
  }

  private static void addTo(Figures.At at, Fleet fleet) {
    Configuration configuration = fleet.configuration();
    byte[] body = ConfigurationCodec.encode(configuration);
    at.exact("body", "B", body.length);
    at.cpu("encode", () -> ConfigurationCodec.encode(configuration));
    String hash = ConfigurationCodec.hash(body);
    at.cpu("decode and verify", () -> ConfigurationCodec.decodeVerified(body, hash));
  }

  private static int gzipped(byte[] body) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream out = new GZIPOutputStream(bytes)) {
      out.write(body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.size();
  }
}
