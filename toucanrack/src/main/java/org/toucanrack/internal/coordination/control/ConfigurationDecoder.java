package org.toucanrack.internal.coordination.control;

import org.toucanrack.configuration.Configuration;

/** Reads the body of an accepted configuration. Implementations are thread-safe. */
public interface ConfigurationDecoder {

  /** Returns the configuration, or throws if the body cannot be read. */
  Configuration decode(long version, byte[] body);
}
