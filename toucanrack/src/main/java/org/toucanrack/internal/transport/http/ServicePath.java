package org.toucanrack.internal.transport.http;

/**
 * A request target of the form {@code /SERVICE/path?query}, split into its parts. Immutable and
 * thread-safe.
 *
 * @param service the first segment, possibly empty
 * @param path the rest of the path, starting with {@code /}
 * @param target path and query without the service
 */
record ServicePath(String service, String path, String target) {

  static ServicePath parse(String pathAndQuery) {
    int queryStart = pathAndQuery.indexOf('?');
    String fullPath = queryStart < 0 ? pathAndQuery : pathAndQuery.substring(0, queryStart);
    int slash = fullPath.indexOf('/', 1);
    String service =
        fullPath.substring(Math.min(1, fullPath.length()), slash < 0 ? fullPath.length() : slash);
    String path = slash < 0 ? "/" : fullPath.substring(slash);
    return new ServicePath(
        service, path, queryStart < 0 ? path : path + pathAndQuery.substring(queryStart));
  }
}
