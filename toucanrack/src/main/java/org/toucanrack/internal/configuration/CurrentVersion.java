package org.toucanrack.internal.configuration;

/**
 * The current version and the version of the row that names it. Immutable and thread-safe.
 *
 * @param record the version
 * @param rowVersion the condition of the next write
 */
public record CurrentVersion(VersionRecord record, long rowVersion) {}
