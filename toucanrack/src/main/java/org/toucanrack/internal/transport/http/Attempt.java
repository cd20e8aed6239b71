package org.toucanrack.internal.transport.http;

import java.util.Optional;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.state.Member;

/**
 * One attempt of a request. Immutable and thread-safe.
 *
 * @param request the request
 * @param number position among the request's attempts, from 1
 * @param version the version to run on
 * @param owner the VM that owns the slots to run on
 * @param avoidedServer a backend server on which an earlier attempt failed, if any
 * @param onlyIfFree whether it may use only a free slot
 */
record Attempt(
    AdmittedRequest request,
    int number,
    VersionId version,
    Member owner,
    Optional<BackendServerId> avoidedServer,
    boolean onlyIfFree) {

  /** Returns an id that is unique to this attempt, so that it can be cancelled on its own. */
  String id() {
    return request.id() + "." + number;
  }
}
