package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.serving.entries.KnownEntries;
import org.aspenmoor.internal.serving.limit.ServerLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LoadSharingTest {
    private static final BackendServer ENGINE = TestServers.engine("engine", EngineRole.WHOLE);
    private static final Duration OBJECTIVE = Duration.ofMillis(500);

    private PlacementPolicy policy;
    private int permissionsAsked;

    @BeforeMethod
    public void createPolicy() {
        EngineSpeed speed = new EngineSpeed(112_000, 0.003, 0.000_1, 0.25, 2048, 0.008, 2_300_000);
        PlacementSettings settings = new PlacementSettings(TestServers.DATA_CENTRE, speed, 0.42, 0);
        policy = new PlacementPolicy(
                settings, new PeerLoads(), new ServerLimits(new KnownEntries("one"), new Random(1)), new Random(2));
        policy.serverChanged(ENGINE, TestServers.CACHE_TOKENS);
        permissionsAsked = 0;
    }

    // Guards against announcements of long prompts that are not sent because short ones have used up their number.
    @Test
    public void should_not_ask_for_permission_when_there_is_only_short_work() {
        start(0.01);

        assertTrue(take(true).isEmpty());
        assertEquals(permissionsAsked, 0);
    }

    // Guards against long prompts that the others never hear of because too much was announced at that moment.
    @Test
    public void should_announce_later_what_was_not_permitted() {
        start(0.1);
        assertTrue(take(false).isEmpty());
        start(0.2);

        List<LoadChange> changes = take(true);

        assertEquals(changes.size(), 1);
        assertEquals(changes.getFirst().unansweredSeconds(), 0.3, 1e-9);
        assertEquals(changes.getFirst().requests(), 2);
    }

    @Test
    public void should_not_announce_again_what_was_announced_or_reported() {
        start(0.1);
        assertEquals(take(true).size(), 1);
        start(0.01);
        assertTrue(take(true).isEmpty());

        start(0.1);
        policy.ownLoads(0);

        assertTrue(take(true).isEmpty());
    }

    private void start(double workSeconds) {
        policy.attemptStarted(ENGINE, WorkKind.WHOLE, workSeconds, OBJECTIVE, 0);
    }

    private List<LoadChange> take(boolean permitted) {
        return policy.loadSharing().takeChanges(0, () -> {
            permissionsAsked++;
            return permitted;
        });
    }
}
