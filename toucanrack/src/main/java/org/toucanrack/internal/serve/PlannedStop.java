package org.toucanrack.internal.serve;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Comparator;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.toucanrack.configuration.Rules;
import org.toucanrack.internal.coordination.control.ControlPlane;
import org.toucanrack.internal.transport.http.TrafficServer;

/**
 * Stops a VM without interrupting requests: hands over resources, waits until cached look-ups have
 * expired and requests in flight have ended, then closes the callers' port.
 */
final class PlannedStop {

  private static final Logger LOGGER = System.getLogger(PlannedStop.class.getName());
  private static final Duration DEFAULT_LOOK_UP_TIME_TO_LIVE = Duration.ofSeconds(10);

  private final ControlPlane control;
  private final TrafficServer traffic;

  PlannedStop(ControlPlane control, TrafficServer traffic) {
    this.control = control;
    this.traffic = traffic;
  }

  /** Blocks until the callers' port is closed. Each wait has a time limit. */
  void run() {
    Duration lookUpTimeToLive = lookUpTimeToLive();
    CompletableFuture<Void> trafficDrained = traffic.drain(lookUpTimeToLive);
    await(control.drain().toCompletableFuture(), lookUpTimeToLive, "handover");
    await(trafficDrained, lookUpTimeToLive.plus(longestTimeout()), "requests in flight");
    traffic.close();
  }

  private Duration lookUpTimeToLive() {
    return control
        .snapshot()
        .configuration()
        .map(configuration -> configuration.deployment().rules())
        .map(Rules::lookUpTimeToLive)
        .orElse(DEFAULT_LOOK_UP_TIME_TO_LIVE);
  }

  private Duration longestTimeout() {
    return control.snapshot().configuration().stream()
        .flatMap(configuration -> configuration.deployment().services().stream())
        .map(service -> Duration.ofMillis(service.longestTimeoutMillis()))
        .max(Comparator.naturalOrder())
        .orElse(Duration.ZERO);
  }

  private static void await(CompletableFuture<Void> completion, Duration timeout, String activity) {
    try {
      completion.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
    } catch (TimeoutException e) {
      LOGGER.log(
          Level.WARNING, "[serve] Planned stop: {0} did not end within {1}.", activity, timeout);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      LOGGER.log(Level.WARNING, "[serve] Planned stop: " + activity + " failed.", e.getCause());
    }
  }
}
