package org.toucanrack.standin.backend;

/**
 * Settings of one backend server.
 *
 * @param slots requests it runs at the same time
 * @param maxConnections connections it accepts
 * @param serviceTime distribution of service times
 * @param coldStart slowness after the start and after a pause
 * @param newConnectionMillis extra time of the first request on a connection
 * @param stateLagMillis how late the health and load endpoints show changes
 */
public record BackendSettings(
    int slots,
    int maxConnections,
    ServiceTime serviceTime,
    ColdStart coldStart,
    long newConnectionMillis,
    long stateLagMillis) {

  /**
   * Slowness of a cold server.
   *
   * @param serviceTimeFactor multiplies service times while cold
   * @param warmUpMillis time after which a server is warm; 0 for no cold start by time
   * @param warmUpRequests requests after which a server is warm; 0 for no cold start by count
   * @param idleMillis a pause without requests that makes the server cold again; 0 for never
   */
  public record ColdStart(
      double serviceTimeFactor, long warmUpMillis, int warmUpRequests, long idleMillis) {

    /** A server that is always warm. */
    public static final ColdStart NONE = new ColdStart(1, 0, 0, 0);
  }
}
