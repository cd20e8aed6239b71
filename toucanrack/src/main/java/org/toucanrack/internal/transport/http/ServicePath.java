package org.toucanrack.internal.transport.http;

/**
 * Splits {@code /SERVICE/path?query}. Immutable and thread-safe.
 *
 * @param service the first segment, possibly empty
 * @param path the rest of the path, starting with {@code /}
 * @param target path and query without the service
 */
record ServicePath(String service, String path, String target) {

  static ServicePath parse(String pathAndQuery) {
    int query = pathAndQuery.indexOf('?');
    String whole = query < 0 ? pathAndQuery : pathAndQuery.substring(0, query);
    int slash = whole.indexOf('/', 1);
    String service =
        whole.substring(Math.min(1, whole.length()), slash < 0 ? whole.length() : slash);
    String path = slash < 0 ? "/" : whole.substring(slash);
    return new ServicePath(service, path, query < 0 ? path : path + pathAndQuery.substring(query));
  }
}
