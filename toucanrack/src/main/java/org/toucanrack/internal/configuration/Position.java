package org.toucanrack.internal.configuration;

/**
 * A place in a file. Immutable and thread-safe.
 *
 * @param file name of the file within its directory
 * @param line from 1
 */
record Position(String file, int line) {

  @Override
  public String toString() {
    return file + ":" + line;
  }
}
