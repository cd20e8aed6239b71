package org.toucanrack.internal.protocol;

/**
 * Framing of a request body. Immutable and thread-safe.
 *
 * @param chunked whether the body uses chunked transfer encoding
 * @param length length in bytes of a body that is not chunked
 */
record BodyFraming(boolean chunked, long length) {}
