package org.toucanrack.internal.transport.http;

import java.util.Optional;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.state.Member;

/**
 * One attempt of a request. Immutable and thread-safe.
 *
 * @param request the request
 * @param number from 1
 * @param version the version to run on
 * @param owner where to run
 * @param avoidedServer a backend server on which an earlier attempt failed
 * @param onlyIfFree whether it may use only a free slot
 */
record Attempt(
    AdmittedRequest request,
    int number,
    VersionId version,
    Member owner,
    Optional<BackendServerId> avoidedServer,
    boolean onlyIfFree) {

  /** Differs between attempts, so that one can be cancelled without the other. */
  String id() {
    return request.id() + "." + number;
  }
}
