package org.toucanrack.internal.configuration;

/**
 * The current version and the version of the row that names it. Immutable and thread-safe.
 *
 * @param record entry of the current version
 * @param rowVersion version of the row, which the next write must find unchanged
 */
public record CurrentVersion(VersionRecord record, long rowVersion) {}
