package org.aspenmoor.internal.gateway.request;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.settings.RetrySettings;
import org.aspenmoor.internal.gateway.standin.TestReports;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.serving.PlacementSettings;
import org.aspenmoor.internal.serving.entries.EntryListing;
import org.aspenmoor.internal.serving.freshness.CollectionFreshness;
import org.aspenmoor.internal.serving.freshness.ObservedCollection;
import org.aspenmoor.internal.serving.freshness.RegularPolling;
import org.aspenmoor.internal.serving.freshness.StoreFreshness;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** When an entry without requests of its own takes the fleet for idle, so that several engines may change their roles. */
public class IdleFleetTest {
    private static final String OWN = "entry-0";
    private static final String OTHER = "entry-1";
    private static final Duration WITHOUT_REQUESTS = Duration.ofSeconds(8);

    private ManualTimeSource time;
    private ServingState state;

    @BeforeMethod
    public void start() {
        time = new ManualTimeSource();
        state = new ServingState(
                OWN,
                time,
                new Random(1),
                new RetrySettings(1, 1, Duration.ofSeconds(10), 1),
                new DecisionLog(time, OWN, new PrintStream(OutputStream.nullOutputStream())),
                new PlacementSettings("here", EngineSpeed.defaults(), 0.5, 0),
                new StoreFreshness(freshness(ObservedCollection.CONFIGURATION), freshness(ObservedCollection.SERVERS)));
        time.advance(WITHOUT_REQUESTS);
    }

    // Guards against role changes in the middle of traffic by an entry that has just started or is cut off: it has no
    // requests and hears nobody who has.
    @Test
    public void should_not_count_as_idle_when_no_registered_entry_is_heard() {
        register(OWN, OTHER);

        assertFalse(state.fleetSnapshot(OWN).idle());
    }

    // Guards against role changes by an entry that has just started and has not read the registrations yet.
    @Test
    public void should_not_count_as_idle_when_the_registered_entries_are_not_known() {
        assertFalse(state.fleetSnapshot(OWN).idle());
    }

    @Test
    public void should_count_as_idle_when_no_other_entry_is_registered() {
        register(OWN);

        assertTrue(state.fleetSnapshot(OWN).idle());
    }

    @Test
    public void should_count_as_idle_when_another_entry_is_heard_and_has_no_requests() {
        register(OWN, OTHER);
        state.peerSharing().peerReported(TestReports.of(OTHER, Map.of()), time.monotonicNanos());

        assertTrue(state.fleetSnapshot(OWN).idle());
    }

    private void register(String... names) {
        Map<String, String> versions = new HashMap<>();
        List.of(names).forEach(name -> versions.put(name, "1"));
        state.entriesListed(new EntryListing(versions, time.monotonicNanos(), Optional.empty()));
    }

    private static CollectionFreshness freshness(ObservedCollection collection) {
        return new CollectionFreshness(
                OWN, collection, new RegularPolling(Duration.ofSeconds(1), Duration.ZERO), Optional.empty());
    }
}
