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

/** The deployment, the caller and the keys of one scenario. */
public final class World {

  private static final Pattern SECRET = Pattern.compile("trk_[A-Za-z0-9_-]+");

  /** Each scenario runs on one thread; scenarios run in parallel on several. */
  private static final ThreadLocal<State> CURRENT = new ThreadLocal<>();

  private static final class State {
    private final Caller caller = new Caller();
    private final List<CompletableFuture<Caller.Answer>> pending = new ArrayList<>();
    private final Map<String, String> keys = new LinkedHashMap<>();
    private final Fleet fleet = new Fleet(newDirectory());
  }

  /** Starts a new deployment and grants a key to both customers. */
  void start(double requestsPerSecond) {
    CURRENT.set(new State());
    fleet().start(requestsPerSecond);
    grant("press");
    grant("studio");
    fleet().await("keys are in force", Duration.ofSeconds(15), this::everyVmKnowsTheKeys);
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

  /** Sends one request without waiting. */
  CompletableFuture<Caller.Answer> send(
      String vm, String method, String path, Optional<String> key, Optional<String> ticket) {
    CompletableFuture<Caller.Answer> answer =
        caller().send(fleet().callersAddress(vm), method, path, key, ticket);
    CURRENT.get().pending.add(answer);
    return answer;
  }

  /** Sends a keyed read and waits for its answer. */
  Caller.Answer read(String vm, String customer) {
    return send(vm, "GET", "/catalogue/item", key(customer), Optional.empty()).join();
  }

  /** Waits for the answers of all requests. */
  void settle() {
    CURRENT.get().pending.forEach(CompletableFuture::join);
  }

  /** Ends all processes of the scenario. */
  @After
  public void stop() {
    if (CURRENT.get() != null) {
      fleet().close();
      CURRENT.remove();
    }
  }

  private void grant(String customer) {
    String output =
        fleet()
            .command("key", "grant", "--customer", customer, "--name", customer + "-key")
            .expectExit(0)
            .output();
    Matcher secret = SECRET.matcher(output);
    if (!secret.find()) {
      throw new AssertionError("no secret in: " + output);
    }
    CURRENT.get().keys.put(customer, secret.group());
  }

  private boolean everyVmKnowsTheKeys() {
    return fleet().vmNames().stream()
        .allMatch(vm -> read(vm, "press").status() == 200 && read(vm, "studio").status() == 200);
  }

  private static Path newDirectory() {
    try {
      return Files.createTempDirectory("toucanrack-scenario");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
