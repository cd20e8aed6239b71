package org.toucanrack.internal.coordination.admission;

import java.util.EnumSet;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * What a backend server reports about its load: the numbers of running requests, waiting requests
 * and slots, and optionally the pace of its machine, separated by commas. Immutable and
 * thread-safe.
 *
 * <p>A malformed figure is ignored, and the others are used. Running and waiting requests are used
 * together or not at all. The number of slots is known from the announcement, so that it is only
 * checked.
 *
 * @param requests running and waiting requests
 * @param pace duration of work on the server's machine, relative to the usual one
 * @param malformed the ignored figures
 */
public record ReportedLoad(OptionalInt requests, OptionalDouble pace, Set<Figure> malformed) {

  private static final Pattern COUNT = Pattern.compile("[0-9]{1,7}");

  /** The largest accepted pace is 100 times the usual one; more would be a fault of the report. */
  private static final double MAX_PACE_PERCENT = 10_000;

  private static final Pattern PACE = Pattern.compile("[0-9]{1,5}(\\.[0-9]{1,6})?");
  private static final double USUAL_PACE_PERCENT = 100;
  private static final int SLOTS_INDEX = 2;
  private static final int PACE_INDEX = 3;
  private static final int MAX_FIGURES = 4;

  /** A part of the report that can be malformed. */
  public enum Figure {
    /** The number of running or of waiting requests is missing, negative, huge or no number. */
    REQUESTS,
    /** The number of slots is empty, negative, huge or no number. */
    SLOTS,
    /** The pace is empty, zero, negative, huge or no number. */
    PACE,
    /** There are more than four figures. */
    SURPLUS
  }

  /** Copies the set. */
  public ReportedLoad {
    malformed = Set.copyOf(malformed);
  }

  /** Reads a report. */
  public static ReportedLoad parse(String text) {
    // The limit keeps empty figures at the end, and bounds the work for a long value.
    String[] figures = text.split(",", MAX_FIGURES + 1);
    EnumSet<Figure> malformed = EnumSet.noneOf(Figure.class);
    OptionalInt requests = OptionalInt.empty();
    if (figures.length >= 2 && isCount(figures[0]) && isCount(figures[1])) {
      requests =
          OptionalInt.of(
              Integer.parseInt(figures[0].strip()) + Integer.parseInt(figures[1].strip()));
    } else {
      malformed.add(Figure.REQUESTS);
    }
    if (figures.length > SLOTS_INDEX && !isCount(figures[SLOTS_INDEX])) {
      malformed.add(Figure.SLOTS);
    }
    OptionalDouble pace = OptionalDouble.empty();
    if (figures.length > PACE_INDEX) {
      pace = pace(figures[PACE_INDEX].strip());
      if (pace.isEmpty()) {
        malformed.add(Figure.PACE);
      }
    }
    if (figures.length > MAX_FIGURES) {
      malformed.add(Figure.SURPLUS);
    }
    return new ReportedLoad(requests, pace, malformed);
  }

  private static boolean isCount(String figure) {
    return COUNT.matcher(figure.strip()).matches();
  }

  private static OptionalDouble pace(String figure) {
    if (!PACE.matcher(figure).matches()) {
      return OptionalDouble.empty();
    }
    double percent = Double.parseDouble(figure);
    return percent >= 1 && percent <= MAX_PACE_PERCENT
        ? OptionalDouble.of(percent / USUAL_PACE_PERCENT)
        : OptionalDouble.empty();
  }
}
