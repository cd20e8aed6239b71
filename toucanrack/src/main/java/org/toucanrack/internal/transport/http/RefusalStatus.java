package org.toucanrack.internal.transport.http;

import org.toucanrack.ErrorCode;

/** Maps error codes to HTTP status codes. Stateless and thread-safe. */
final class RefusalStatus {

  private RefusalStatus() {}

  static int of(ErrorCode code) {
    return switch (code) {
      case INVALID_REQUEST, INVALID_NAME -> 400;
      case UNKNOWN_KEY -> 401;
      case FORBIDDEN -> 403;
      case UNKNOWN_ROUTE -> 404;
      case TICKET_UNKNOWN, TICKET_HOME_LOST, CONFLICT -> 409;
      case BODY_TOO_LARGE -> 413;
      case RATE_EXCEEDED -> 429;
      case BACKEND_FAILED, INCOMPLETE_ANSWER, OWNER_UNREACHABLE -> 502;
      case OVERLOADED, NO_CAPACITY, NOT_READY, KEYS_NOT_FRESH, SHIFT_CAP_REACHED, LEASE_LOST -> 503;
      case DEADLINE_EXCEEDED -> 504;
      default -> 500;
    };
  }
}
