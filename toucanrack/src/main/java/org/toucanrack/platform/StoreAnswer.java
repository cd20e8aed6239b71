package org.toucanrack.platform;

import java.util.Objects;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;

/**
 * The outcome of one call to the platform. Immutable and thread-safe.
 *
 * @param <T> the result type of a completed call
 */
public sealed interface StoreAnswer<T> {

  /** The call took effect. */
  record Done<T>(T value) implements StoreAnswer<T> {}

  /** The call had no effect, for example because a condition did not hold. */
  record Refused<T>(String reason) implements StoreAnswer<T> {
    /** Rejects a missing reason. */
    public Refused {
      Objects.requireNonNull(reason, "reason");
    }
  }

  /**
   * The call may have taken effect. Find out the outcome by its operation id before repeating it.
   */
  record Unknown<T>(String reason) implements StoreAnswer<T> {
    /** Rejects a missing reason. */
    public Unknown {
      Objects.requireNonNull(reason, "reason");
    }
  }

  /**
   * Returns the value of a completed call.
   *
   * @throws ToucanrackException with {@link ErrorCode#CONFLICT} if the call was refused, or with
   *     {@link ErrorCode#PLATFORM_UNAVAILABLE} if its outcome is unknown
   */
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
