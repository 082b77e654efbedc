package org.aspenmoor.internal.serving.speed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.LearnedSlowdown;
import org.aspenmoor.internal.serving.ServerSpeed;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.aspenmoor.internal.serving.StatedSlowdown;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class KnownSpeedsTest {
    private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private KnownSpeeds speeds;
    private KnownSpeed one;

    @BeforeMethod
    public void createSpeeds() {
        speeds = new KnownSpeeds();
        one = speeds.serverChanged(server("one", 1, "plain"));
    }

    // Guards against a server that is avoided, or preferred, for what it stated a second ago.
    @Test
    public void should_expect_the_usual_speed_again_when_a_statement_gets_old() {
        speeds.stated(server("one", 1, "plain"), 2.5, 0);

        assertEquals(one.statedSlowdown(0), 2.5, 1e-9);
        assertEquals(one.statedSlowdown(300 * MILLISECOND), 1.75, 1e-9);
        assertEquals(one.statedSlowdown(SECOND + 1), 1, 1e-9);
        assertEquals(one.currentStatement(SECOND + 1), Optional.empty());
    }

    // Guards against a late report of a peer that hides what the server stated since.
    @Test
    public void should_keep_the_newest_statement_of_all_entries() {
        speeds.reported("peer", List.of(stated("one", 1, 2.5, 10)), 100 * MILLISECOND);
        assertEquals(one.statedSlowdown(90 * MILLISECOND), 2.5, 1e-9);
        speeds.stated(server("one", 1, "plain"), 1, 200 * MILLISECOND);
        speeds.reported("peer", List.of(stated("one", 1, 2.5, 300)), 400 * MILLISECOND);

        assertEquals(one.statedSlowdown(400 * MILLISECOND), 1, 1e-9);
    }

    // Guards against what was stated or learned of a process that has ended and is taken for that of its successor.
    @Test
    public void should_ignore_other_incarnations() {
        speeds.stated(server("one", 2, "plain"), 2.5, 0);
        speeds.reported("peer", List.of(stated("one", 2, 2.5, 0), learned("one", 2, 3, 10)), 0);
        speeds.reported("peer", List.of(learned("unknown", 1, 3, 10)), 0);

        assertFalse(one.inUse());
        assertEquals(one.statedSlowdown(0), 1, 1e-9);
        assertEquals(one.learned(0), Optional.empty());
    }

    // Guards against an entry that has just started and takes half a minute to learn what all others know.
    @Test
    public void should_adopt_what_peers_have_learned_and_keep_it_when_they_are_gone() {
        speeds.reported("a", List.of(learned("one", 1, 2, 30)), 0);
        speeds.reported("b", List.of(learned("one", 1, 4, 10)), 0);
        speeds.reported("b", List.of(learned("one", 1, 4, 10)), MILLISECOND);

        double weighted = Math.exp((30 * Math.log(2) + 10 * Math.log(4)) / 40);
        assertTrue(one.inUse());
        assertEquals(one.learned(MILLISECOND).orElseThrow().factor(), weighted, 1e-3);
        assertEquals(one.learned(20 * SECOND).orElseThrow().factor(), weighted, 1e-3);
        one.workObserved(weighted, 20 * SECOND);
        assertEquals(one.learnedSlowdown(weighted, 20 * SECOND), weighted, 1e-3);
    }

    // Guards against figures of a faulty peer that outweigh everything or make scores infinite.
    @Test
    public void should_limit_what_a_peer_reports() {
        speeds.reported("faulty", List.of(learned("one", 1, 1e300, 1e300), stated("one", 1, 1e-300, 0)), 0);

        assertEquals(one.learnedSlowdown(1, 0), 100, 1);
        assertEquals(one.statedSlowdown(0), 0.01, 1e-9);
    }

    // Guards against a statement that one lost report loses, and against statements that entries pass round.
    @Test
    public void should_report_own_statements_until_they_are_older_than_a_second() {
        speeds.reported("peer", List.of(stated("one", 1, 2.5, 0)), 0);
        assertEquals(speeds.toReport(0), List.of());

        speeds.stated(server("one", 1, "plain"), 1.5, 0);
        assertEquals(speeds.toReport(400 * MILLISECOND), List.of(stated("one", 1, 1.5, 400)));
        assertEquals(speeds.toReport(900 * MILLISECOND), List.of(stated("one", 1, 1.5, 900)));
        assertEquals(speeds.toReport(1100 * MILLISECOND), List.of());
    }

    // Guards against reports, and decisions, that change where no server states its slowdown.
    @Test
    public void should_report_what_was_learned_only_of_services_that_state_their_slowdown() {
        KnownSpeed other = speeds.serverChanged(server("other", 1, "silent"));
        other.workObserved(2, 0);
        one.workObserved(2, 0);
        assertEquals(speeds.toReport(0), List.of());

        speeds.stated(server("one", 1, "plain"), 1, 0);
        List<ServerSpeed> reported = speeds.toReport(0);
        assertEquals(reported.size(), 1);
        assertEquals(reported.getFirst().learned().orElseThrow().factor(), 2, 1e-9);
        assertFalse(other.inUse());
    }

    // Guards against a service that counts as stating for ever because of servers that are gone.
    @Test
    public void should_forget_a_removed_server() {
        speeds.stated(server("one", 1, "plain"), 2, 0);
        KnownSpeed next = speeds.serverChanged(server("one", 2, "plain"));

        assertFalse(next.inUse());
        assertEquals(next.statedSlowdown(0), 1, 1e-9);
    }

    private static ServerSpeed stated(String id, long startedAt, double factor, long ageMilliseconds) {
        StatedSlowdown stated = new StatedSlowdown(factor, Duration.ofMillis(ageMilliseconds));
        return new ServerSpeed(id, startedAt, Optional.of(stated), Optional.empty(), Optional.empty());
    }

    private static ServerSpeed learned(String id, long startedAt, double factor, double answers) {
        return new ServerSpeed(
                id, startedAt, Optional.empty(), Optional.empty(), Optional.of(new LearnedSlowdown(factor, answers)));
    }

    private static BackendServer server(String id, long startedAt, String service) {
        return new BackendServer(
                id,
                startedAt,
                service,
                new SoftwareVersion("one"),
                "127.0.0.1",
                1,
                "here",
                6,
                BackendState.READY,
                EngineRole.WHOLE);
    }
}
