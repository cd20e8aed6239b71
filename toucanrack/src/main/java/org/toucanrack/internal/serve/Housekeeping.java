package org.toucanrack.internal.serve;

import io.activej.eventloop.Eventloop;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.internal.transport.health.BackendHealth;
import org.toucanrack.internal.transport.health.BackendHealthPoller;
import org.toucanrack.internal.transport.operator.OperatorServer;

/**
 * Runs the operators' port, health polls, expiry of waiting requests and the steps of moves and
 * rollouts on a thread of its own, to which all state is confined.
 */
final class Housekeeping implements AutoCloseable {

  private static final Duration EXPIRY_PERIOD = Duration.ofMillis(10);
  private static final Duration HEALTH_PERIOD = Duration.ofSeconds(1);

  private final Eventloop eventloop = Eventloop.builder().withThreadName("housekeeping").build();
  private final OperatorServer operators;
  private final BackendHealthPoller poller;
  private final EntryVm vm;

  Housekeeping(
      ServeSettings settings, PrometheusRegistry registry, StatusReader status, EntryVm vm) {
    this.vm = vm;
    this.operators =
        new OperatorServer(
            eventloop,
            settings.operatorsListen(),
            settings.operatorToken(),
            registry,
            status::read);
    this.poller = new BackendHealthPoller(eventloop, this::onHealthChanged);
  }

  void start() {
    eventloop.keepAlive(true);
    Thread thread = new Thread(eventloop, "housekeeping");
    thread.setDaemon(true);
    thread.start();
    CompletableFuture.runAsync(operators::listen, eventloop::execute).join();
    eventloop.execute(this::expire);
    eventloop.execute(this::poll);
  }

  @Override
  public void close() {
    eventloop.execute(operators::close);
    eventloop.keepAlive(false);
  }

  private void onHealthChanged(Map<BackendServerId, BackendHealth> states) {
    vm.dispatchers().update(states, System.nanoTime());
  }

  private void expire() {
    eventloop.delay(EXPIRY_PERIOD, this::expire);
    vm.expire(System.nanoTime());
  }

  private void poll() {
    eventloop.delay(HEALTH_PERIOD, this::poll);
    vm.advance(System.nanoTime());
    poller.poll(OwnedServerList.granted(vm.currentSnapshot()));
  }
}
