package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.serving.entries.KnownEntries;
import org.aspenmoor.internal.serving.limit.ServerLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class SpeedPlacementTest {
    private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
    private static final Duration OBJECTIVE = Duration.ofMillis(400);
    private static final double PROMPT_SECONDS = 0.1;

    private PlacementPolicy policy;

    @BeforeMethod
    public void createPolicy() {
        policy = new PlacementPolicy(
                new PlacementSettings("here", EngineSpeed.defaults(), 0.5, 0),
                new PeerLoads(),
                new ServerLimits(new KnownEntries("one"), new Random(1)),
                new Random(1));
    }

    // Guards against requests that go to a host that is slow at the moment, and against a server without a recent
    // statement that is avoided for that.
    @Test
    public void should_avoid_a_plain_server_while_it_states_that_it_is_slow() {
        policy.serverChanged(TestServers.plain("slow"), 0);
        policy.serverChanged(TestServers.plain("silent"), 0);
        policy.knownSpeeds().stated(TestServers.plain("slow"), 2.5, 0);

        for (int choice = 0; choice < 20; choice++) {
            assertEquals(chosenPlainServer(0), "silent");
        }
        policy.knownSpeeds().stated(TestServers.plain("slow"), 1, MILLISECOND);
        int silent = 0;
        for (int choice = 0; choice < 1000; choice++) {
            silent += chosenPlainServer(MILLISECOND).equals("silent") ? 1 : 0;
        }
        assertEquals(silent, 500, 100);
    }

    // Guards against an answer that took long because its host was slow, as the server stated, and that makes the
    // server count as slow for a second time, also when the host is back at its usual speed.
    @Test
    public void should_not_learn_a_slowdown_that_the_server_stated() {
        policy.serverChanged(TestServers.plain("one"), 0);
        long now = 0;
        for (int request = 0; request < 20; request++) {
            now = answered(TestServers.plain("one"), WorkKind.PLAIN, 0.02, 2.5, 50, now);
        }
        assertEquals(policy.summaries(now).getFirst().slowdown(), 1, 0.01);
        for (int request = 0; request < 200; request++) {
            now = answered(TestServers.plain("one"), WorkKind.PLAIN, 0.02, 1, 40, now);
        }
        assertEquals(policy.summaries(now).getFirst().slowdown(), 2, 0.1);
    }

    // Guards against the same at engines, whose speed the queues and refusals of all entries depend on.
    @Test
    public void should_not_learn_a_slowdown_that_an_engine_stated() {
        BackendServer engine = TestServers.engine("one", EngineRole.WHOLE);
        policy.serverChanged(engine, TestServers.CACHE_TOKENS);
        policy.knownSpeeds().stated(engine, 1, 0);
        long now = 0;
        for (int request = 0; request < 40; request++) {
            now = answered(engine, WorkKind.WHOLE, PROMPT_SECONDS, 2.5, 285, now);
        }
        LearnedSpeed learned = policy.learnedSpeeds().getFirst();
        assertTrue(learned.factor() < 1.2 && learned.factor() > 0.8, learned.toString());
        double known = policy.summaries(now).getFirst().slowdown() * learned.factor();
        assertEquals(known, 1, 0.2);
    }

    /** Plays a request whose answer takes some milliseconds and states a slowdown; returns when it was answered. */
    private long answered(
            BackendServer server, WorkKind kind, double usualSeconds, double stated, long milliseconds, long now) {
        policy.knownSpeeds().stated(server, stated, now);
        double workSeconds = usualSeconds * (kind == WorkKind.PLAIN ? 1 : stated);
        AssignedWork work = policy.attemptStarted(server, kind, workSeconds, OBJECTIVE, now);
        long answeredAt = now + milliseconds * MILLISECOND;
        policy.knownSpeeds().stated(server, stated, answeredAt);
        policy.answerStarted(work, answeredAt);
        policy.attemptEnded(work);
        return answeredAt;
    }

    private String chosenPlainServer(long now) {
        PlacementRequest request = new PlacementRequest(
                TestServers.PLAIN_SERVICE,
                Optional.empty(),
                Duration.ofSeconds(2),
                OBJECTIVE,
                false,
                Set.of(),
                false,
                false,
                false,
                new VersionRequirement.Any());
        return ((Placement.SingleServer) policy.choose(request, now)).server().id();
    }
}
