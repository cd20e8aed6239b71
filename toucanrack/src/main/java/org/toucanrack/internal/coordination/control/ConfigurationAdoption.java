package org.toucanrack.internal.coordination.control;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.toucanrack.configuration.Configuration;

/**
 * Fetches and adopts configurations. Used by the control loop only.
 *
 * <p>Invariants: versions are adopted in rising order only, whoever delivers them; a body is
 * adopted only if its hash is right.
 */
final class ConfigurationAdoption {

  private static final Logger LOGGER = System.getLogger(ConfigurationAdoption.class.getName());
  private static final long RETRY_NANOS = 500 * ControlTimings.MILLIS;
  private static final long UNREADABLE_RETRY_NANOS = 10 * ControlTimings.SECOND;

  private final ConfigurationDecoder decoder;
  private Optional<Adopted> adopted = Optional.empty();
  private long wantedVersion;
  private String wantedHash = "";
  private Optional<PeerCall> source = Optional.empty();
  private boolean fetching;
  private boolean lastFetchWasFromPeer;
  private long nextFetchNanos;

  ConfigurationAdoption(ConfigurationDecoder decoder, long nowNanos) {
    this.decoder = decoder;
    this.nextFetchNanos = nowNanos;
  }

  /** Takes in the table's current version. */
  void storeHas(CurrentVersion current, long nowNanos) {
    if (current.version() > version()
        && (current.version() > wantedVersion || wantedHash.isEmpty())
        && current.version() >= wantedVersion) {
      want(current.version(), current.hash(), nowNanos);
    }
  }

  /** Takes in that a peer has a version. */
  void peerHas(long version, PeerCall fetch, long nowNanos) {
    if (version <= version() || version < wantedVersion) {
      return;
    }
    if (version > wantedVersion) {
      want(version, "", nowNanos);
    }
    source = Optional.of(fetch);
  }

  private void want(long version, String hash, long nowNanos) {
    if (version > wantedVersion) {
      nextFetchNanos = nowNanos;
    }
    wantedVersion = version;
    wantedHash = hash;
  }

  /** Starts a fetch if one is due, in turn from the peer and from the object store. */
  Optional<ControlAction> dueFetch(long nowNanos) {
    if (wantedVersion <= version() || fetching || nowNanos - nextFetchNanos < 0) {
      return Optional.empty();
    }
    boolean fromPeer = source.isPresent() && (wantedHash.isEmpty() || !lastFetchWasFromPeer);
    if (!fromPeer && wantedHash.isEmpty()) {
      return Optional.empty();
    }
    fetching = true;
    lastFetchWasFromPeer = fromPeer;
    nextFetchNanos = nowNanos + RETRY_NANOS;
    return Optional.of(
        fromPeer
            ? ControlMessages.fetch(source.get(), wantedVersion)
            : new ControlAction.ReadObject(objectName(wantedHash)));
  }

  static String objectName(String hash) {
    return "configuration/" + hash;
  }

  void fetchFailed() {
    fetching = false;
  }

  /** Takes in an object of the store; returns whether it was adopted. */
  boolean objectArrived(String name, byte[] body, long nowNanos) {
    fetching = false;
    return name.equals(objectName(wantedHash)) && adopt(wantedVersion, wantedHash, body, nowNanos);
  }

  /** Takes in a body of a peer; returns whether it was adopted. */
  boolean bodyArrived(long version, String hash, byte[] body, long nowNanos) {
    fetching = false;
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
      LOGGER.log(Level.ERROR, "[configuration] Version " + version + " cannot be read.", e);
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

  /** An adopted configuration with its body as accepted. */
  record Adopted(Configuration configuration, String hash, byte[] body) {}
}
