package org.toucanrack.steering;

/**
 * Position of an announcement of a backend server among all of its announcements. Immutable and
 * thread-safe.
 *
 * @param startedAtMillis when the run of the server started, in milliseconds since 1970
 * @param sequenceNumber rises with each announcement of this run
 */
public record AnnouncementNumber(long startedAtMillis, long sequenceNumber)
    implements Comparable<AnnouncementNumber> {

  @Override
  public int compareTo(AnnouncementNumber other) {
    int byRun = Long.compare(startedAtMillis, other.startedAtMillis);
    return byRun != 0 ? byRun : Long.compare(sequenceNumber, other.sequenceNumber);
  }
}
