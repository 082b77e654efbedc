package org.aspenmoor.internal.serving.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.aspenmoor.internal.serving.entries.EntryListing;
import org.aspenmoor.internal.serving.entries.KnownEntries;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ServerLimitsTest {
    private static final String SERVER = "server";
    private static final long STEP = Duration.ofMillis(10).toNanos();
    private static final int STEPS = 2000;

    /** So long before that no loan of an earlier process can last. */
    private static final long LISTED_AT = -Duration.ofMinutes(1).toNanos();

    private ServerLimits limits;

    @BeforeMethod
    public void createLimits() {
        KnownEntries entries = new KnownEntries("one");
        entries.listed(new EntryListing(Map.of("one", "1"), LISTED_AT, Optional.empty()), LISTED_AT);
        limits = new ServerLimits(entries, new Random(1));
        limits.serverChanged(server(1));
    }

    // Guards against a server that states a slightly different limit in each answer, and gets twice as many requests.
    @Test
    public void should_keep_to_the_limit_when_each_answer_states_another_one() {
        int sent = 0;
        for (int step = 0; step < STEPS; step++) {
            long now = step * STEP;
            if (limits.maySend(SERVER, now)) {
                limits.sent(SERVER, now);
                sent++;
                limits.stated(SERVER, new LimitStatement.Limited(5 + sent % 2 * 0.1), now, now);
            }
        }

        double seconds = STEPS * 0.01;
        assertTrue(sent <= 5.1 * seconds + 2, sent + " requests in " + seconds + " s");
        assertTrue(sent >= 2.5 * seconds, sent + " requests in " + seconds + " s");
    }

    // Guards against a limit that outlives the server that stated it.
    @Test
    public void should_forget_the_limit_when_the_server_starts_again() {
        limits.stated(SERVER, new LimitStatement.Limited(0), 1, 2);

        limits.serverChanged(server(2));

        assertEquals(limits.requestsPerSecond(SERVER), Optional.empty());
        assertTrue(limits.maySend(SERVER, 3));
    }

    private static BackendServer server(long startedAt) {
        return new BackendServer(
                SERVER,
                startedAt,
                "service",
                new SoftwareVersion("one"),
                "127.0.0.1",
                1,
                "here",
                6,
                BackendState.READY,
                EngineRole.WHOLE);
    }
}
