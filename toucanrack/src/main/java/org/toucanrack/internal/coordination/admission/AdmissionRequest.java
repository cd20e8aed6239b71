package org.toucanrack.internal.coordination.admission;

/**
 * A request as the decisions on scarcity see it. Immutable and thread-safe.
 *
 * @param rank rank of its priority, 0 for the most urgent
 * @param customer its customer, or a common name for requests without one
 * @param route its route; requests of one route are about equally much work
 * @param objectiveNanos its latency objective
 */
public record AdmissionRequest(int rank, String customer, String route, long objectiveNanos) {}
