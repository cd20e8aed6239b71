package org.toucanrack.internal.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.configuration.Key;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.OperationId;
import org.toucanrack.platform.StoreAnswer;

/** Guards the version sequence against lost answers and concurrent operators. */
class ConfigurationStoreTest {

  private static final Deployment SAHA =
      ConfigurationDirectory.read(Path.of("..", "examples", "saha"));

  private final InMemoryPlatform platform = new InMemoryPlatform();
  private final ConfigurationStore store =
      new ConfigurationStore(platform.tables(), platform.objects(), millis -> {});

  @Test
  void publishesVersionsInSequenceAndReadsThemBack() {
    List<Key> keys =
        List.of(new Key("k", new CustomerId("maan-schools"), new KeySecret("s").sha256()));

    store.publish(publication(0, "first", List.of()));
    long second = store.publish(publication(1, "second", keys));

    assertEquals(2, second);
    assertEquals(new Configuration(2, SAHA, keys), currentBody());
  }

  @Test
  void treatsLostAnswerAsAcceptedWhenTheVersionWasWritten() {
    platform.answersToLose = 1;

    long version = store.publish(publication(0, "first", List.of()));

    assertEquals(1, version);
    assertEquals(1, currentRecord().version());
  }

  @Test
  void retriesCommitThatWasLostBeforeItTookEffect() {
    platform.commitsToLose = 2;

    long version = store.publish(publication(0, "first", List.of()));

    assertEquals(1, version);
    assertEquals(1, currentRecord().version());
  }

  @Test
  void treatsLostAnswerAsAcceptedWhenAnotherVersionFollowed() {
    platform.answersToLose = 1;
    platform.afterLostAnswer = () -> store.publish(publication(1, "other", List.of()));

    long version = store.publish(publication(0, "mine", List.of()));

    assertEquals(1, version);
    assertEquals("other", currentRecord().operation().value());
  }

  @Test
  void refusesTheSecondOfTwoOperators() {
    platform.beforeCommit = () -> store.publish(publication(0, "winner", List.of()));

    ToucanrackException failure =
        assertThrows(
            ToucanrackException.class, () -> store.publish(publication(0, "loser", List.of())));

    assertEquals(ErrorCode.CONFLICT, failure.code());
    assertEquals("winner", currentRecord().operation().value());
  }

  @Test
  void refusesTheSecondOfTwoOperatorsWhenItsAnswerIsLost() {
    platform.beforeCommit =
        () -> {
          store.publish(publication(0, "winner", List.of()));
          platform.answersToLose = 1;
        };

    ToucanrackException failure =
        assertThrows(
            ToucanrackException.class, () -> store.publish(publication(0, "loser", List.of())));

    assertEquals(ErrorCode.CONFLICT, failure.code());
    assertTrue(failure.getMessage().contains("written by winner"), failure.getMessage());
  }

  @Test
  void reportsUnknownOutcomeWhenThePlatformStopsAnsweringDuringTheCommit() {
    platform.beforeCommit = () -> platform.down = true;

    ToucanrackException failure =
        assertThrows(
            ToucanrackException.class, () -> store.publish(publication(0, "first", List.of())));

    assertEquals(ErrorCode.OUTCOME_UNKNOWN, failure.code());
  }

  @Test
  void reportsThatNothingChangedWhenThePlatformIsDownFromTheStart() {
    platform.down = true;

    ToucanrackException failure =
        assertThrows(
            ToucanrackException.class, () -> store.publish(publication(0, "first", List.of())));

    assertEquals(ErrorCode.PLATFORM_UNAVAILABLE, failure.code());
    assertTrue(failure.getMessage().contains("Nothing was changed"), failure.getMessage());
  }

  @Test
  void refusesBodyThatDoesNotMatchItsHash() {
    store.publish(publication(0, "first", List.of()));
    platform.objects().put(currentRecord().objectName(), new byte[] {1});

    StoreAnswer<Configuration> answer = store.body(currentRecord()).toCompletableFuture().join();

    assertTrue(answer.toString().contains("does not match its hash"), answer.toString());
  }

  private static Publication publication(long basedOn, String operation, List<Key> keys) {
    return new Publication(basedOn, SAHA, keys, new OperationId(operation), operation);
  }

  private VersionRecord currentRecord() {
    Optional<CurrentVersion> current = store.current().toCompletableFuture().join().orThrow();
    return current.orElseThrow().record();
  }

  private Configuration currentBody() {
    return store.body(currentRecord()).toCompletableFuture().join().orThrow();
  }
}
