package org.toucanrack.standin.backend;

/**
 * Settings of one backend server.
 *
 * @param slots maximum number of requests that run concurrently
 * @param maxConnections maximum number of open connections
 * @param serviceTime distribution of service times
 * @param coldStart slowdown after the start and after idle periods
 * @param newConnectionMillis additional service time of the first request on each connection
 * @param stateLagMillis delay until the health and load endpoints reflect changes
 */
public record BackendSettings(
    int slots,
    int maxConnections,
    ServiceTime serviceTime,
    ColdStart coldStart,
    long newConnectionMillis,
    long stateLagMillis) {

  /**
   * Slowdown of a cold server.
   *
   * @param serviceTimeFactor factor by which service times are multiplied while the server is cold
   * @param warmUpMillis time until a cold server is warm; 0 for no warm-up by time
   * @param warmUpRequests requests until a cold server is warm; 0 for no warm-up by requests
   * @param idleMillis idle time after which the server is cold again; 0 for never
   */
  public record ColdStart(
      double serviceTimeFactor, long warmUpMillis, int warmUpRequests, long idleMillis) {

    /** The settings of a server that is always warm. */
    public static final ColdStart NONE = new ColdStart(1, 0, 0, 0);
  }
}
