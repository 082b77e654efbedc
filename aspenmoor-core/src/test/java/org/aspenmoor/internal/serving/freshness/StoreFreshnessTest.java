package org.aspenmoor.internal.serving.freshness;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.serving.PeerMeasurements;
import org.aspenmoor.internal.serving.TestReports;
import org.testng.annotations.Test;

public class StoreFreshnessTest {
    private static final ObservedCollection SERVERS = ObservedCollection.SERVERS;
    private static final Duration ROUND = Duration.ofMillis(100);
    private static final CollectionState STATE = new CollectionState(1, 10);

    private long sequence;

    // Guards against reports that waited for a paused process and then count as if they had just been sent.
    @Test
    public void should_count_reports_as_older_when_the_event_loop_ran_late() {
        StoreFreshness freshness =
                new StoreFreshness(collection(ObservedCollection.CONFIGURATION), collection(SERVERS));
        freshness.of(SERVERS).pollSent(PollReason.REGULAR, 0);
        freshness.of(SERVERS).pollAnswered(0, false, 0);
        freshness.of(SERVERS).applied(STATE, 0);
        freshness.eventLoopRan(ROUND, 0);

        assertEquals(ageAfterReport(freshness, 50), 1, "in time");
        assertEquals(ageAfterReport(freshness, 3000), 2901, "read first after a pause");
        freshness.eventLoopRan(ROUND, milliseconds(3000));
        assertEquals(ageAfterReport(freshness, 3010), 2901, "read after the late round");
        freshness.eventLoopRan(ROUND, milliseconds(3100));
        assertEquals(ageAfterReport(freshness, 3110), 1, "in time again");
    }

    /** Receives a report of a call that has just been sent, and returns the age of the confirmation in milliseconds. */
    private long ageAfterReport(StoreFreshness freshness, long atMilliseconds) {
        long now = milliseconds(atMilliseconds);
        CollectionObservation observation =
                new CollectionObservation(SERVERS, STATE.generation(), STATE.digest(), Duration.ZERO);
        freshness.peerReported(
                TestReports.of(
                        "peer",
                        1,
                        ++sequence,
                        Map.of(),
                        new PeerMeasurements(List.of(), List.of(), List.of(), List.of(observation))),
                now);
        return freshness.of(SERVERS).status(now).age().orElseThrow().toMillis();
    }

    private static CollectionFreshness collection(ObservedCollection collection) {
        return new CollectionFreshness("entry", collection, new RegularPolling(ROUND, ROUND), Optional.of(bounds()));
    }

    private static FreshnessBounds bounds() {
        return new FreshnessBounds(
                FreshnessScenario.BOUND, FreshnessScenario.CALL_TIMEOUT, FreshnessScenario.SERVER_PAUSE);
    }

    private static long milliseconds(long number) {
        return Duration.ofMillis(number).toNanos();
    }
}
