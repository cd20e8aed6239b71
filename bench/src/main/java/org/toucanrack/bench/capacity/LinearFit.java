package org.toucanrack.bench.capacity;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * A least-squares linear fit through the figures of one quantity. Immutable and thread-safe.
 *
 * @param intercept value at size 0
 * @param slope increase of the value per unit of size
 * @param worstErrorPercent largest deviation of a figure from the fit, relative to the figure
 */
record LinearFit(double intercept, double slope, double worstErrorPercent) {

  static Optional<LinearFit> of(List<Figure> points) {
    double meanSize = points.stream().mapToDouble(Figure::size).average().orElse(0);
    double meanValue = points.stream().mapToDouble(Figure::value).average().orElse(0);
    double variance =
        points.stream().mapToDouble(point -> Math.pow(point.size() - meanSize, 2)).sum();
    if (variance == 0) {
      return Optional.empty();
    }
    double slope =
        points.stream()
                .mapToDouble(point -> (point.size() - meanSize) * (point.value() - meanValue))
                .sum()
            / variance;
    double intercept = meanValue - slope * meanSize;
    double worstErrorPercent =
        points.stream()
            .filter(point -> point.value() != 0)
            .mapToDouble(
                point ->
                    100
                        * Math.abs(intercept + slope * point.size() - point.value())
                        / point.value())
            .max()
            .orElse(0);
    return Optional.of(new LinearFit(intercept, slope, worstErrorPercent));
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT, "%.4g + %.4g x size, worst error %.0f%%", intercept, slope, worstErrorPercent);
  }
}
