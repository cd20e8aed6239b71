package org.toucanrack.bench.capacity;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPOutputStream;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.internal.configuration.ConfigurationCodec;

/** Size and CPU time of configuration bodies by number of declarations of each kind. */
final class ConfigurationBenchmark implements ScalingBenchmark {

  private static final int FAILURE_DOMAINS = 47;
  private static final int BASE_SIZE = 10;

  @Override
  public void measure(Scale scale, FigureRecorder figures) {
    // Warm-up: the first figures would otherwise include time in interpreted code.
    addFigures(
        new FigureRecorder(scale).pointAt("warm-up", "one", 1),
        fleet(BASE_SIZE, BASE_SIZE, BASE_SIZE, BASE_SIZE));
    for (int services : new int[] {12, 50, 200}) {
      int size = scale.sizeFor(services);
      addFigures(
          figures.pointAt("configuration", "services", size),
          fleet(size, BASE_SIZE, BASE_SIZE, BASE_SIZE));
    }
    for (int size : new int[] {scale.sizeFor(250), scale.sizeFor(1_000), scale.sizeFor(4_000)}) {
      addFigures(
          figures.pointAt("configuration", "backend servers", size),
          fleet(BASE_SIZE, size, BASE_SIZE, BASE_SIZE));
      addFigures(
          figures.pointAt("configuration", "customers", size),
          fleet(BASE_SIZE, BASE_SIZE, size, BASE_SIZE));
      addFigures(
          figures.pointAt("configuration", "keys", size),
          fleet(BASE_SIZE, BASE_SIZE, BASE_SIZE, size));
    }
    for (int eighths : new int[] {1, 4, 8}) {
      int size = scale.sizeFor(1_000 * eighths / 8);
      Fleet targetMix = fleet(scale.sizeFor(50 * eighths / 8), size, size, 2 * size);
      FigureRecorder.Point point = figures.pointAt("configuration", "target mix (customers)", size);
      addFigures(point, targetMix);
      point.addExact(
          "gzip body", "B", gzippedBytes(ConfigurationCodec.encode(targetMix.configuration())));
      point.measureRetainedHeap("decoded", targetMix::configuration);
    }
  }

  private static Fleet fleet(int services, int servers, int customers, int keys) {
    return new Fleet(FAILURE_DOMAINS, 1, services, servers, customers, keys);
  }

  private static void addFigures(FigureRecorder.Point point, Fleet fleet) {
    Configuration configuration = fleet.configuration();
    byte[] body = ConfigurationCodec.encode(configuration);
    point.addExact("body", "B", body.length);
    point.measureCpu("encode", () -> ConfigurationCodec.encode(configuration));
    String hash = ConfigurationCodec.hash(body);
    point.measureCpu("decode and verify", () -> ConfigurationCodec.decodeVerified(body, hash));
  }

  private static int gzippedBytes(byte[] body) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream out = new GZIPOutputStream(bytes)) {
      out.write(body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.size();
  }
}
