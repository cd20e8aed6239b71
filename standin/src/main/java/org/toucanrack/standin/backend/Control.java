package org.toucanrack.standin.backend;

import java.util.List;

/**
 * The JSON body of {@code POST /control}. Absent fields leave the state unchanged.
 *
 * @param draining whether the server drains
 * @param down whether the server rejects all requests with 500 and reports {@code down}
 * @param healthSays overrides the response of the health endpoint; empty for the actual state
 * @param loadSays overrides the response of the load endpoint; negative for the actual load
 * @param slots the new number of slots
 * @param serviceTime the new distribution of service times, in the form of {@link ServiceTime}
 * @param unreachableMillis resets all connections and accepts no new ones for this time
 * @param cold whether to make the server cold
 * @param faults fault rules that replace all present ones
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
