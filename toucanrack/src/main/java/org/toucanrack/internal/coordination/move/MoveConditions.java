package org.toucanrack.internal.coordination.move;

/**
 * Load conditions that decide whether a step of a move is possible. Immutable and thread-safe.
 *
 * @param targetHeadroom fraction of the moving traffic that the target can take in addition
 * @param sourceHeadroom fraction of the moving traffic that the source can take back
 * @param warmFraction fraction of the target's backend servers that are warm, 0 to 1
 */
public record MoveConditions(double targetHeadroom, double sourceHeadroom, double warmFraction) {}
