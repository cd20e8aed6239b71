package org.toucanrack.internal.coordination.move;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** The states of a traffic move. */
public enum MoveState {
  RUNNING,
  /** A rollback is in progress, after the deadline or an abort. */
  TAKING_BACK,
  DONE,
  TAKEN_BACK,
  /** An operator aborted the move and its rollback is complete. */
  ABORTED;

  /** Returns the form in records and for operators, for example {@code taking back}. */
  @JsonValue
  public String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }

  /** Returns whether no further step follows. */
  public boolean isFinal() {
    return this == DONE || this == TAKEN_BACK || this == ABORTED;
  }
}
