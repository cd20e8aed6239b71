package org.toucanrack.internal.coordination.control;

import org.toucanrack.configuration.Configuration;

/** Decodes the body of an accepted configuration. Implementations are thread-safe. */
public interface ConfigurationDecoder {

  /** Returns the configuration; throws an unchecked exception if the body cannot be decoded. */
  Configuration decode(long version, byte[] body);
}
