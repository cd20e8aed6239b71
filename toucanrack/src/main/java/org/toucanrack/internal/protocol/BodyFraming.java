package org.toucanrack.internal.protocol;

/**
 * How the end of a request body is found. Immutable and thread-safe.
 *
 * @param chunked whether the body is sent in chunks
 * @param length the length of a body that is not chunked
 */
record BodyFraming(boolean chunked, long length) {}
