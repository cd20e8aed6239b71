package org.toucanrack.scenarios;

import io.cucumber.java.After;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.toucanrack.scenarios.fleet.Caller;
import org.toucanrack.scenarios.fleet.Fleet;

/**
 * Shares the deployment, the caller and the API keys of a scenario between its step classes. All
 * instances on a thread share the state of the scenario that runs on it.
 */
public final class World {

  private static final Pattern KEY_SECRET = Pattern.compile("trk_[A-Za-z0-9_-]+");

  /** Scenarios run in parallel, each on one thread. */
  private static final ThreadLocal<ScenarioState> CURRENT = new ThreadLocal<>();

  private static final class ScenarioState {
    private final Caller caller = new Caller();
    private final List<CompletableFuture<Caller.RecordedResponse>> pendingResponses =
        new ArrayList<>();
    private final Map<String, String> keys = new LinkedHashMap<>();
    private final Fleet fleet = new Fleet(newDirectory());
  }

  /** Starts a new deployment and grants an API key to each customer. */
  void startDeployment(double requestsPerSecond) {
    CURRENT.set(new ScenarioState());
    fleet().start(requestsPerSecond);
    grantKey("press");
    grantKey("studio");
    fleet()
        .await(
            "every entry VM accepts the keys", Duration.ofSeconds(15), this::everyVmAcceptsTheKeys);
  }

  Fleet fleet() {
    return CURRENT.get().fleet;
  }

  Caller caller() {
    return CURRENT.get().caller;
  }

  Optional<String> key(String customer) {
    return Optional.of(CURRENT.get().keys.get(customer));
  }

  /** Sends a request without waiting for the response. */
  CompletableFuture<Caller.RecordedResponse> send(
      String vm, String method, String path, Optional<String> key, Optional<String> ticket) {
    CompletableFuture<Caller.RecordedResponse> response =
        caller().send(fleet().callersAddress(vm), method, path, key, ticket);
    CURRENT.get().pendingResponses.add(response);
    return response;
  }

  /** Sends a read with the API key of the customer and waits for the response. */
  Caller.RecordedResponse sendKeyedRead(String vm, String customer) {
    return send(vm, "GET", "/catalogue/item", key(customer), Optional.empty()).join();
  }

  /** Waits until all requests sent so far have completed. */
  void awaitResponses() {
    CURRENT.get().pendingResponses.forEach(CompletableFuture::join);
  }

  /** Stops all processes of the scenario. */
  @After
  public void stopDeployment() {
    if (CURRENT.get() != null) {
      fleet().close();
      CURRENT.remove();
    }
  }

  private void grantKey(String customer) {
    String output =
        fleet()
            .runCommand("key", "grant", "--customer", customer, "--name", customer + "-key")
            .expectExit(0)
            .output();
    Matcher secret = KEY_SECRET.matcher(output);
    if (!secret.find()) {
      throw new AssertionError("no API key in the output: " + output);
    }
    CURRENT.get().keys.put(customer, secret.group());
  }

  private boolean everyVmAcceptsTheKeys() {
    return fleet().vmNames().stream()
        .allMatch(
            vm ->
                sendKeyedRead(vm, "press").status() == 200
                    && sendKeyedRead(vm, "studio").status() == 200);
  }

  private static Path newDirectory() {
    try {
      return Files.createTempDirectory("toucanrack-scenario");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
