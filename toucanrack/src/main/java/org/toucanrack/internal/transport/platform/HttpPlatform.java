package org.toucanrack.internal.transport.platform;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.toucanrack.platform.ObjectStore;
import org.toucanrack.platform.Platform;
import org.toucanrack.platform.TableService;
import org.toucanrack.platform.VmDirectory;

/**
 * Implements the platform port over HTTP. Thread-safe.
 *
 * <p>Invariant: no call throws or completes exceptionally, and each completes within twice the call
 * timeout multiplied by the number of platform addresses. Stages complete on threads of the
 * adapter, which must not be blocked.
 *
 * <pre>{@code
 * try (Platform platform = new HttpPlatform(List.of(URI.create("http://127.0.0.1:19000")))) {
 *   platform.tables().get("configuration/current");
 * }
 * }</pre>
 */
public final class HttpPlatform implements Platform {

  /**
   * Default timeout of one attempt at one address: half of the time that keys stay fresh without a
   * new proof.
   */
  public static final Duration DEFAULT_CALL_TIMEOUT = Duration.ofSeconds(2);

  private final PlatformCalls calls;
  private final TableService tables;
  private final ObjectStore objects;
  private final VmDirectory vms;

  /** Creates an adapter with the default timeout; the addresses are tried in order. */
  public HttpPlatform(List<URI> addresses) {
    this(addresses, DEFAULT_CALL_TIMEOUT);
  }

  /** Creates an adapter whose calls try the addresses in order. */
  public HttpPlatform(List<URI> addresses, Duration callTimeout) {
    this.calls = new PlatformCalls(addresses, callTimeout);
    this.tables = new HttpTableService(calls);
    this.objects = new HttpObjectStore(calls);
    this.vms = new HttpVmDirectory(calls);
  }

  @Override
  public TableService tables() {
    return tables;
  }

  @Override
  public ObjectStore objects() {
    return objects;
  }

  @Override
  public VmDirectory vms() {
    return vms;
  }

  @Override
  public void close() {
    calls.close();
  }
}
