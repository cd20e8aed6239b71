package org.toucanrack.internal.configuration;

/**
 * A line of a declared file. Immutable and thread-safe.
 *
 * @param file name of the file within its directory
 * @param line line number, from 1
 */
record Position(String file, int line) {

  @Override
  public String toString() {
    return file + ":" + line;
  }
}
