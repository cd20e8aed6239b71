package org.toucanrack.standin.backend;

import java.util.List;

/**
 * The body of {@code POST /control}. Absent fields leave the state as it is.
 *
 * @param draining whether the server is leaving
 * @param down whether the server refuses all requests with 500 and reports {@code down}
 * @param healthSays what the health endpoint says regardless of the state; empty for the truth
 * @param loadSays what the load endpoint says regardless of the state; negative for the truth
 * @param slots a new number of slots
 * @param serviceTime a new distribution of service times
 * @param unreachableMillis closes all connections and accepts none for this time
 * @param cold makes the server cold
 * @param faults replaces all fault rules
 */
public record Control(
    Boolean draining,
    Boolean down,
    String healthSays,
    Double loadSays,
    Integer slots,
    String serviceTime,
    Long unreachableMillis,
    Boolean cold,
    List<FaultRule> faults) {}
