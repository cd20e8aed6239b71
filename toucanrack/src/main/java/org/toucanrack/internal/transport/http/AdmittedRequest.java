package org.toucanrack.internal.transport.http;

import com.google.protobuf.ByteString;
import java.util.List;
import org.toucanrack.configuration.Route;
import org.toucanrack.configuration.Service;
import org.toucanrack.id.CustomerId;
import org.toucanrack.internal.protocol.generated.HeaderField;

/**
 * A caller's request after its route and key were checked. Immutable and thread-safe.
 *
 * @param id unique across all VMs
 * @param service the service
 * @param route the route
 * @param customer the customer on whose behalf it runs
 * @param method HTTP method
 * @param target path and query for the backend server
 * @param headers headers that pass to the backend server
 * @param body the complete body
 * @param arrivedNanos monotonic time of arrival
 * @param deadlineNanos monotonic time of the caller's deadline
 */
record AdmittedRequest(
    String id,
    Service service,
    Route route,
    CustomerId customer,
    String method,
    String target,
    List<HeaderField> headers,
    ByteString body,
    long arrivedNanos,
    long deadlineNanos) {

  AdmittedRequest withBody(ByteString newBody) {
    return new AdmittedRequest(
        id,
        service,
        route,
        customer,
        method,
        target,
        headers,
        newBody,
        arrivedNanos,
        deadlineNanos);
  }
}
