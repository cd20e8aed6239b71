package org.toucanrack.platform;

import java.util.Objects;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;

/**
 * The answer of the platform to one call. Immutable and thread-safe.
 *
 * @param <T> what a completed call returns
 */
public sealed interface StoreAnswer<T> {

  /** The call took effect. */
  record Done<T>(T value) implements StoreAnswer<T> {}

  /** The call took no effect, for instance since a condition did not hold. */
  record Refused<T>(String reason) implements StoreAnswer<T> {
    /** Rejects a missing reason. */
    public Refused {
      Objects.requireNonNull(reason, "reason");
    }
  }

  /** The call may have taken effect. Resolve it by its operation id before repeating it. */
  record Unknown<T>(String reason) implements StoreAnswer<T> {
    /** Rejects a missing reason. */
    public Unknown {
      Objects.requireNonNull(reason, "reason");
    }
  }

  /** Returns the value, or throws with the code that fits the answer. */
  default T orThrow() {
    if (this instanceof Done<T> done) {
      return done.value();
    }
    if (this instanceof Refused<T> refused) {
      throw new ToucanrackException(ErrorCode.CONFLICT, refused.reason());
    }
    throw new ToucanrackException(ErrorCode.PLATFORM_UNAVAILABLE, ((Unknown<T>) this).reason());
  }

  /** Returns whether the call took effect. */
  default boolean isDone() {
    return this instanceof Done<T>;
  }
}
