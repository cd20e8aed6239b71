package org.toucanrack.bench.capacity;

/**
 * One measured value. Immutable and thread-safe.
 *
 * @param mechanism what was measured
 * @param quantity which property of it
 * @param unit the unit of the value
 * @param axis what the size counts
 * @param size the size at which it was measured
 * @param value the median of the repeats
 * @param spreadPercent largest less smallest repeat, relative to the median; 0 for exact values
 */
record Figure(
    String mechanism,
    String quantity,
    String unit,
    String axis,
    long size,
    double value,
    double spreadPercent) {

  /** Identifies the line that the figure belongs to. */
  String seriesName() {
    return mechanism + ": " + quantity + " [" + unit + "] by " + axis;
  }
}
