package org.toucanrack.internal.coordination.rollout;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** The states of a version rollout. */
public enum RolloutState {
  /** A small share, whose requests are concentrated to put a few servers under load. */
  EXPOSING,
  RAMPING,
  COMPLETE,
  /** The version was rolled back and gets no traffic until it is declared again. */
  TAKEN_BACK;

  /** Returns the form in records and for operators, for example {@code taken back}. */
  @JsonValue
  public String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
