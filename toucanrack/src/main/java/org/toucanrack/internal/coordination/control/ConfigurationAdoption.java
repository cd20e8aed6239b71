package org.toucanrack.internal.coordination.control;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.toucanrack.configuration.Configuration;

/**
 * Fetches configurations from peers or the object store and adopts them. Confined to the control
 * thread.
 *
 * <p>Invariants: versions are adopted in ascending order only, from any source; a body is adopted
 * only if its SHA-256 matches the expected hash.
 */
final class ConfigurationAdoption {

  private static final Logger LOGGER = System.getLogger(ConfigurationAdoption.class.getName());
  private static final long RETRY_NANOS = 500 * ControlTimings.NANOS_PER_MILLISECOND;
  private static final long UNREADABLE_RETRY_NANOS = 10 * ControlTimings.NANOS_PER_SECOND;

  private final ConfigurationDecoder decoder;
  private Optional<Adopted> adopted = Optional.empty();
  private long targetVersion;
  private String targetHash = "";
  private Optional<PeerCall> peerFetch = Optional.empty();
  private boolean fetchInFlight;
  private boolean lastFetchWasFromPeer;
  private long nextFetchNanos;

  ConfigurationAdoption(ConfigurationDecoder decoder, long nowNanos) {
    this.decoder = decoder;
    this.nextFetchNanos = nowNanos;
  }

  /**
   * Sets the fetch target to the table's current version if that is newer, or adds the hash to a
   * target that only peers have announced.
   */
  void observeStoreVersion(CurrentVersion current, long nowNanos) {
    if (current.version() > version()
        && (current.version() > targetVersion || targetHash.isEmpty())
        && current.version() >= targetVersion) {
      setTarget(current.version(), current.hash(), nowNanos);
    }
  }

  /**
   * Records a peer as the source of a version if it is at least as new as the target. A target that
   * only peers have announced has no hash and is fetched from peers only.
   */
  void observePeerVersion(long version, PeerCall fetch, long nowNanos) {
    if (version <= version() || version < targetVersion) {
      return;
    }
    if (version > targetVersion) {
      setTarget(version, "", nowNanos);
    }
    peerFetch = Optional.of(fetch);
  }

  private void setTarget(long version, String hash, long nowNanos) {
    if (version > targetVersion) {
      nextFetchNanos = nowNanos;
    }
    targetVersion = version;
    targetHash = hash;
  }

  /** Starts a fetch if one is due, alternating between the peer and the object store. */
  Optional<ControlAction> startFetchIfDue(long nowNanos) {
    if (targetVersion <= version() || fetchInFlight || nowNanos - nextFetchNanos < 0) {
      return Optional.empty();
    }
    boolean fromPeer = peerFetch.isPresent() && (targetHash.isEmpty() || !lastFetchWasFromPeer);
    if (!fromPeer && targetHash.isEmpty()) {
      return Optional.empty();
    }
    fetchInFlight = true;
    lastFetchWasFromPeer = fromPeer;
    nextFetchNanos = nowNanos + RETRY_NANOS;
    return Optional.of(
        fromPeer
            ? ControlMessages.fetch(peerFetch.get(), targetVersion)
            : new ControlAction.ReadObject(objectName(targetHash)));
  }

  static String objectName(String hash) {
    return "configuration/" + hash;
  }

  void onFetchFailed() {
    fetchInFlight = false;
  }

  /** Handles an object read from the store; returns whether it was adopted. */
  boolean onObjectRead(String name, byte[] body, long nowNanos) {
    fetchInFlight = false;
    return name.equals(objectName(targetHash)) && adopt(targetVersion, targetHash, body, nowNanos);
  }

  /** Handles a body received from a peer; returns whether it was adopted. */
  boolean onBodyReceived(long version, String hash, byte[] body, long nowNanos) {
    fetchInFlight = false;
    return adopt(version, hash, body, nowNanos);
  }

  private boolean adopt(long version, String hash, byte[] body, long nowNanos) {
    if (version <= version() || !hash.equals(sha256(body))) {
      return false;
    }
    try {
      adopted = Optional.of(new Adopted(decoder.decode(version, body), hash, body));
      LOGGER.log(Level.INFO, "[configuration] Adopted version {0}.", version);
      return true;
    } catch (RuntimeException e) {
      nextFetchNanos = nowNanos + UNREADABLE_RETRY_NANOS;
      LOGGER.log(
          Level.ERROR,
          "[configuration] Version " + version + " could not be decoded; it will be fetched again.",
          e);
      return false;
    }
  }

  static String sha256(byte[] body) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java runtime has no SHA-256", e);
    }
  }

  long version() {
    return adopted.map(known -> known.configuration().version()).orElse(0L);
  }

  Optional<Adopted> adopted() {
    return adopted;
  }

  /** An adopted configuration with its hash and its encoded body. */
  record Adopted(Configuration configuration, String hash, byte[] body) {}
}
