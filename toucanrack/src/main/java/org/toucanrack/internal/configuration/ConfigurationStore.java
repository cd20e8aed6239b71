package org.toucanrack.internal.configuration;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.LongConsumer;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.platform.ObjectStore;
import org.toucanrack.platform.Row;
import org.toucanrack.platform.StoreAnswer;
import org.toucanrack.platform.TableService;
import org.toucanrack.platform.Transaction;
import org.toucanrack.platform.Transaction.Condition;
import org.toucanrack.platform.Transaction.Write;

/**
 * The version sequence of the configuration. Thread-safe.
 *
 * <p>Invariant: version N+1 is written only while version N is current, in one transaction with the
 * row of the current version; the body is stored first.
 */
public final class ConfigurationStore {

  /** Key of the row that names the current version. */
  public static final String CURRENT_KEY = "configuration/current";

  private static final String VERSION_PREFIX = "configuration/version/";

  private final TableService tables;
  private final ObjectStore objects;
  private final ReliableCommit commits;

  /** Creates a store; {@code pauseMillis} sleeps between the attempts of {@link #publish}. */
  public ConfigurationStore(TableService tables, ObjectStore objects, LongConsumer pauseMillis) {
    this.tables = tables;
    this.objects = objects;
    this.commits = new ReliableCommit(tables, pauseMillis);
  }

  /** Reads which version is current; empty if none was accepted yet. */
  public CompletionStage<StoreAnswer<Optional<CurrentVersion>>> current() {
    return tables.get(CURRENT_KEY).thenApply(answer -> map(answer, ConfigurationStore::decode));
  }

  /** Reads the body of a version and checks it against its hash. */
  public CompletionStage<StoreAnswer<Configuration>> body(VersionRecord version) {
    return objects
        .get(version.objectName())
        .thenApply(answer -> map(answer, content -> decode(version, content)));
  }

  /**
   * Publishes a version and returns its number. Blocks; for the command line.
   *
   * <p>Throws with {@code CONFLICT} if another version was published first, {@code
   * PLATFORM_UNAVAILABLE} if nothing was written, and {@code OUTCOME_UNKNOWN} if it is unknown
   * whether the version was written.
   */
  public long publish(Publication publication) {
    byte[] body = ConfigurationCodec.encode(publication.configuration());
    VersionRecord next =
        new VersionRecord(
            publication.basedOn() + 1,
            ConfigurationCodec.hash(body),
            publication.basedOn(),
            publication.operation(),
            publication.writer());
    long rowVersion = requireCurrent(publication.basedOn());
    storeBody(next, body);
    commit(next, rowVersion);
    return next.version();
  }

  private long requireCurrent(long basedOn) {
    Optional<CurrentVersion> current =
        commits.retry("read the current version", this::current).orThrow();
    long version = current.map(found -> found.record().version()).orElse(0L);
    if (version != basedOn) {
      throw conflict(basedOn, "version " + version + " is current");
    }
    return current.map(CurrentVersion::rowVersion).orElse(0L);
  }

  private void storeBody(VersionRecord next, byte[] body) {
    commits.retry("store the body", () -> objects.put(next.objectName(), body)).orThrow();
  }

  private void commit(VersionRecord next, long rowVersion) {
    String versionKey = VERSION_PREFIX + next.version();
    Optional<String> value = Optional.of(next.encode());
    Transaction transaction =
        new Transaction(
            next.operation(),
            List.of(new Condition(CURRENT_KEY, rowVersion), new Condition(versionKey, 0)),
            List.of(new Write(CURRENT_KEY, value), new Write(versionKey, value)));
    try {
      commits.commit(transaction, versionKey, row -> isWritten(next, row));
    } catch (ToucanrackException e) {
      throw e.code() == ErrorCode.CONFLICT ? conflict(next.basedOn(), e.getMessage()) : e;
    }
  }

  /** Returns whether the row holds this version; throws if another operation wrote the row. */
  private static boolean isWritten(VersionRecord next, Optional<Row> row) {
    Optional<VersionRecord> written = row.map(found -> VersionRecord.decode(found.value()));
    if (written.isEmpty()) {
      return false;
    }
    if (written.get().operation().equals(next.operation())) {
      return true;
    }
    throw new ToucanrackException(
        ErrorCode.CONFLICT,
        "version %d was written by %s".formatted(next.version(), written.get().writer()));
  }

  private static ToucanrackException conflict(long basedOn, String cause) {
    return new ToucanrackException(
        ErrorCode.CONFLICT,
        "The change is based on version %d, but %s. Run 'toucanrack plan' and try again."
            .formatted(basedOn, cause));
  }

  private static Optional<CurrentVersion> decode(Optional<Row> row) {
    return row.map(
        found -> new CurrentVersion(VersionRecord.decode(found.value()), found.version()));
  }

  private static Configuration decode(VersionRecord version, Optional<byte[]> content) {
    byte[] body = content.orElseThrow(() -> damaged(version, "is missing from the object store"));
    Configuration configuration = ConfigurationCodec.decodeVerified(body, version.hash());
    if (configuration.version() != version.version()) {
      throw damaged(version, "contains version " + configuration.version());
    }
    return configuration;
  }

  private static ToucanrackException damaged(VersionRecord version, String problem) {
    return new ToucanrackException(
        ErrorCode.INVALID_CONFIGURATION,
        "The body of version %d %s. Restore the object '%s'."
            .formatted(version.version(), problem, version.objectName()));
  }

  /**
   * Maps the value of an answer. A value that cannot be decoded yields an unknown answer, so that
   * the stage does not complete exceptionally.
   */
  private static <T, R> StoreAnswer<R> map(StoreAnswer<T> answer, Function<T, R> mapping) {
    if (answer instanceof StoreAnswer.Done<T> done) {
      try {
        return new StoreAnswer.Done<>(mapping.apply(done.value()));
      } catch (ToucanrackException e) {
        return new StoreAnswer.Unknown<>(e.getMessage());
      }
    }
    if (answer instanceof StoreAnswer.Refused<T> refused) {
      return new StoreAnswer.Refused<>(refused.reason());
    }
    return new StoreAnswer.Unknown<>(((StoreAnswer.Unknown<T>) answer).reason());
  }
}
