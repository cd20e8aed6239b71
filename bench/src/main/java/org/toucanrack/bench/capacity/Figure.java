package org.toucanrack.bench.capacity;

/**
 * One measured value. Immutable and thread-safe.
 *
 * @param mechanism the measured component
 * @param quantity the measured property of the component
 * @param unit the unit of the value
 * @param axis what the size counts, such as members or customers
 * @param size the size at which it was measured
 * @param value the median of the repeats
 * @param spreadPercent difference between the largest and the smallest repeat, relative to the
 *     median; 0 for exact values
 */
record Figure(
    String mechanism,
    String quantity,
    String unit,
    String axis,
    long size,
    double value,
    double spreadPercent) {

  /** Returns the name of the series of sizes that the figure belongs to. */
  String seriesName() {
    return mechanism + ": " + quantity + " [" + unit + "] by " + axis;
  }
}
