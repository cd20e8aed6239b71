package org.toucanrack.bench.capacity;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * The straight line of least squares through the figures of one quantity. Immutable and
 * thread-safe.
 *
 * @param base value at size 0
 * @param perUnit rise for each unit of size
 * @param worstErrorPercent largest distance of a figure from the line, relative to the figure
 */
record Fit(double base, double perUnit, double worstErrorPercent) {

  static Optional<Fit> of(List<Figure> points) {
    double meanSize = points.stream().mapToDouble(Figure::size).average().orElse(0);
    double meanValue = points.stream().mapToDouble(Figure::value).average().orElse(0);
    double variance = points.stream().mapToDouble(p -> Math.pow(p.size() - meanSize, 2)).sum();
    if (variance == 0) {
      return Optional.empty();
    }
    double perUnit =
        points.stream().mapToDouble(p -> (p.size() - meanSize) * (p.value() - meanValue)).sum()
            / variance;
    double base = meanValue - perUnit * meanSize;
    double worst =
        points.stream()
            .filter(p -> p.value() != 0)
            .mapToDouble(p -> 100 * Math.abs(base + perUnit * p.size() - p.value()) / p.value())
            .max()
            .orElse(0);
    return Optional.of(new Fit(base, perUnit, worst));
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT, "%.4g + %.4g x size, worst error %.0f%%", base, perUnit, worstErrorPercent);
  }
}
