package org.toucanrack.scenarios;

import io.cucumber.java.After;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
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

  private static Fleet fleet;
  private static Caller caller;
  private static List<CompletableFuture<Caller.Answer>> pending;
  private static Map<String, String> keys;

  /** Starts a new deployment and grants a key to both customers. */
  void start(double requestsPerSecond) {
    caller = new Caller();
    pending = new ArrayList<>();
    keys = new LinkedHashMap<>();
    fleet = new Fleet(newDirectory());
    fleet.start(requestsPerSecond);
    grant("press");
    grant("studio");
    fleet.await("keys are in force", java.time.Duration.ofSeconds(15), this::everyVmKnowsTheKeys);
  }

  Fleet fleet() {
    return fleet;
  }

  Caller caller() {
    return caller;
  }

  Optional<String> key(String customer) {
    return Optional.of(keys.get(customer));
  }

  /** Sends one request without waiting. */
  CompletableFuture<Caller.Answer> send(
      String vm, String method, String path, Optional<String> key, Optional<String> ticket) {
    CompletableFuture<Caller.Answer> answer =
        caller.send(fleet.callersAddress(vm), method, path, key, ticket);
    pending.add(answer);
    return answer;
  }

  /** Sends a keyed read and waits for its answer. */
  Caller.Answer read(String vm, String customer) {
    return send(vm, "GET", "/catalogue/item", key(customer), Optional.empty()).join();
  }

  /** Waits for the answers of all requests. */
  void settle() {
    pending.forEach(CompletableFuture::join);
  }

  /** Ends all processes of the scenario. */
  @After
  public void stop() {
    if (fleet != null) {
      fleet.close();
      fleet = null;
    }
  }

  private void grant(String customer) {
    String output =
        fleet
            .command("key", "grant", "--customer", customer, "--name", customer + "-key")
            .expectExit(0)
            .output();
    Matcher secret = SECRET.matcher(output);
    if (!secret.find()) {
      throw new AssertionError("no secret in: " + output);
    }
    keys.put(customer, secret.group());
  }

  private boolean everyVmKnowsTheKeys() {
    return fleet.vmNames().stream()
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
