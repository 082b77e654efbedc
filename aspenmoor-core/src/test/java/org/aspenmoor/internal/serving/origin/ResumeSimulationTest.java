package org.aspenmoor.internal.serving.origin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.serving.origin.ResumeScenario.EngineGone;
import org.aspenmoor.internal.serving.origin.ResumeScenario.EngineStarts;
import org.aspenmoor.internal.serving.origin.ResumeScenario.EntriesCut;
import org.aspenmoor.internal.serving.origin.ResumeScenario.EntriesKilled;
import org.aspenmoor.internal.serving.origin.ResumeScenario.EntryCut;
import org.aspenmoor.internal.serving.origin.ResumeScenario.EntryKilled;
import org.aspenmoor.internal.serving.origin.ResumeScenario.EntryRestarted;
import org.aspenmoor.internal.serving.origin.ResumeScenario.EntrySuspended;
import org.aspenmoor.internal.serving.origin.ResumeScenario.Fault;
import org.aspenmoor.internal.serving.origin.ResumeScenario.StatementsAway;
import org.aspenmoor.internal.serving.origin.ResumeScenario.StoreAway;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * No stream has events of two versions, whatever happens, and streams that are taken up go on about as well as new ones
 * begin, while two engines of their version serve.
 */
public class ResumeSimulationTest {
    private static final int SEEDS = Integer.getInteger("aspenmoor.seeds", 5);

    /** A run with hundreds of entries takes seconds. */
    private static final int LARGE_FLEET = 100;

    /** The users ask for half of the share of new streams; faults of single entries cost far less than that. */
    private static final double AS_GOOD_AS_NEW = 0.9;

    private static final double HALF = 0.5;

    /** Processes that are killed together are back sooner than their streams' callers. */
    private static final long SHORT_DOWNTIME = Duration.ofMillis(300).toNanos();

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{2}, {8}, {34}};
    }

    @DataProvider
    public Object[][] largerFleets() {
        return new Object[][] {{8}, {34}};
    }

    @DataProvider
    public Object[][] allFleets() {
        return new Object[][] {{2}, {8}, {34}, {300}};
    }

    @Test(dataProvider = "fleets")
    public void should_continue_streams_at_their_version_when_nothing_else_happens(int entries) {
        check(ResumeScenario.of(entries, "one", "one", "one", "two", "two", "two"), AS_GOOD_AS_NEW);
    }

    @Test(dataProvider = "fleets")
    public void should_continue_streams_at_their_version_when_three_versions_serve(int entries) {
        check(ResumeScenario.of(entries, "one", "one", "two", "two", "three", "three"), AS_GOOD_AS_NEW);
    }

    // Guards against knowledge that is lost on the way to the other entries.
    @Test(dataProvider = "fleets")
    public void should_continue_streams_at_their_version_when_messages_get_lost_and_late(int entries) {
        check(ResumeScenario.of(entries, "one", "one", "two", "two").losing(0.1), AS_GOOD_AS_NEW);
    }

    // Guards against knowledge that dies with the entry at which the stream began.
    @Test(dataProvider = "fleets")
    public void should_continue_streams_at_their_version_when_entries_are_killed_in_turn(int entries) {
        List<Fault> kills = new ArrayList<>();
        for (int index = 0; index < 16; index++) {
            kills.add(new EntryKilled(5 + 2 * index, index % entries));
        }
        check(ResumeScenario.of(entries, "one", "one", "two", "two").with(kills), HALF);
    }

    // Guards against knowledge that is lost while all entries are restarted one after the other.
    @Test(dataProvider = "fleets")
    public void should_continue_streams_at_their_version_when_entries_are_restarted_in_turn(int entries) {
        List<Fault> restarts = new ArrayList<>();
        for (int index = 0; index < 16; index++) {
            restarts.add(new EntryRestarted(5 + 1.5 * index, index % entries));
        }
        check(ResumeScenario.of(entries, "one", "one", "two", "two").with(restarts), HALF);
    }

    // Guards against a stream that goes on at another version because all who knew it were killed at once.
    @Test(dataProvider = "fleets")
    public void should_continue_no_stream_at_another_version_when_all_entries_are_killed_at_once(int entries) {
        List<Fault> kills = new ArrayList<>();
        for (int index = 0; index < entries; index++) {
            kills.add(new EntryKilled(index == 0 ? 20.02 : 20, index));
        }
        check(ResumeScenario.of(entries, "one", "one", "two", "two").with(kills), HALF);
    }

    // Guards against streams that began while a single version served, when nobody had to be told.
    @Test(dataProvider = "fleets")
    public void should_continue_streams_at_their_version_when_another_version_appears(int entries) {
        check(
                ResumeScenario.of(entries, "one", "one", "one")
                        .losing(0.03)
                        .with(
                                new EngineStarts(10, "two"),
                                new EngineStarts(10.5, "two"),
                                new EngineStarts(20, "three")),
                AS_GOOD_AS_NEW);
    }

    // Guards against an entry that takes a version for the only one because it has not heard of another one yet.
    @Test(dataProvider = "fleets")
    public void should_continue_no_stream_at_another_version_when_entries_are_cut_off_while_a_version_appears(
            int entries) {
        check(
                ResumeScenario.of(entries, "one", "one", "one")
                        .with(
                                new EntryCut(9, 0, 6),
                                new EngineStarts(10, "two"),
                                new EngineStarts(10, "two"),
                                new EntrySuspended(19.9, 1, 2),
                                new EngineStarts(20, "three"),
                                new EngineStarts(20, "three")),
                HALF);
    }

    // Guards against an entry that was cut off just before a version appeared, and has not noticed yet.
    @Test(dataProvider = "fleets")
    public void should_continue_no_stream_at_another_version_when_an_entry_does_not_notice_that_it_is_cut_off(
            int entries) {
        checkOrder(ResumeScenario.of(entries, "one", "one", "one")
                .relyingOnListsFor(Duration.ofSeconds(3))
                .with(new EntryCut(34, 0, 4), new EngineStarts(34.2, "two"), new EngineStarts(34.2, "two")));
    }

    // Guards against entries that are cut off together and confirm to each other what none of them can know.
    @Test(dataProvider = "largerFleets")
    public void should_continue_no_stream_at_another_version_when_entries_are_cut_off_together(int entries) {
        checkOrder(killed(entries, "one", "one", "one")
                .with(new EntriesCut(9, entries / 2, 6), new EngineStarts(10, "two"), new EngineStarts(10, "two")));
    }

    // Guards against an entry that has missed a version while it was cut off, and confirms to those that start, before
    // any of them can read the statements, that there was none.
    @Test(dataProvider = "largerFleets")
    public void should_continue_no_stream_at_another_version_when_the_entry_left_alive_was_cut_off(int entries) {
        checkOrder(killed(entries, "one", "one", "one")
                .with(
                        new EntryCut(9, 0, 5.3),
                        new EngineStarts(10, "two"),
                        new EngineStarts(10, "two"),
                        new EngineGone(14, 3),
                        new EngineGone(14, 4),
                        new EntriesKilled(14.05, 1, SHORT_DOWNTIME),
                        new StatementsAway(14.1, 5)));
    }

    // Guards against an entry that has started after a version has gone, and knows only the ones that are left.
    @Test(dataProvider = "fleets")
    public void should_continue_no_stream_at_another_version_when_its_version_goes_and_entries_start(int entries) {
        check(
                ResumeScenario.of(entries, "one", "one", "two", "two")
                        .with(
                                new EntryKilled(14.25, 0),
                                new EngineGone(15.2, 0),
                                new EngineGone(15.24, 1),
                                new EngineStarts(18, "one"),
                                new EngineStarts(18, "one"),
                                new EntryKilled(24.25, 0),
                                new EngineGone(25.2, 4),
                                new EngineGone(25.24, 5)),
                HALF);
    }

    // Guards against entries that cannot see the servers for a while.
    @Test(dataProvider = "fleets")
    public void should_continue_streams_at_their_version_when_the_store_is_away(int entries) {
        check(
                ResumeScenario.of(entries, "one", "one", "two", "two", "two")
                        .losing(0.03)
                        .with(
                                new StoreAway(10, 10),
                                new EngineGone(12, 4),
                                new EngineStarts(13, "three"),
                                new EngineStarts(13, "three")),
                AS_GOOD_AS_NEW);
    }

    // Guards against entries that have all just started and take the versions that are left for the only ones.
    @Test(dataProvider = "allFleets")
    public void should_continue_no_stream_at_another_version_when_all_are_killed_after_its_version_has_left(
            int entries) {
        checkOrder(killed(entries, "one", "one", "two", "two")
                .with(
                        new EntriesKilled(10),
                        new EngineGone(16, 0),
                        new EngineGone(17.8, 1),
                        new EntriesKilled(17.82, 0, SHORT_DOWNTIME),
                        new EntriesKilled(24.8, 0, SHORT_DOWNTIME),
                        new EngineStarts(27, "one"),
                        new EngineStarts(27, "one"),
                        new EngineGone(29, 2),
                        new EngineGone(29, 3),
                        new EntriesKilled(29.4)));
    }

    // Guards against the same while a version leaves before its entries are back.
    @Test(dataProvider = "allFleets")
    public void should_continue_no_stream_at_another_version_when_its_version_leaves_before_the_entries_are_back(
            int entries) {
        checkOrder(killed(entries, "one", "one", "two", "two")
                .with(
                        new EntriesKilled(12),
                        new EngineGone(12.2, 0),
                        new EngineGone(12.4, 1),
                        new EntriesKilled(13.4, 0, SHORT_DOWNTIME),
                        new EngineStarts(20, "three"),
                        new EntriesKilled(21),
                        new EngineGone(21.5, 4)));
    }

    // Guards against the same while an entry goes on that knows few of the streams.
    @Test(dataProvider = "allFleets")
    public void should_continue_no_stream_at_another_version_when_one_entry_is_left_alive(int entries) {
        checkOrder(killed(entries, "one", "one", "two", "two")
                .with(
                        new EngineGone(15, 0),
                        new EngineGone(15.5, 1),
                        new EntriesKilled(15.6, 1, SHORT_DOWNTIME),
                        new EngineStarts(18, "one"),
                        new EngineStarts(18, "one"),
                        new EntriesKilled(24, 1, SHORT_DOWNTIME),
                        new EngineGone(24.1, 2),
                        new EngineGone(24.1, 3),
                        new EntriesKilled(25)));
    }

    // Guards against entries that start without the store and conclude from each other's ignorance.
    @Test(dataProvider = "allFleets")
    public void should_continue_no_stream_at_another_version_when_the_store_is_away_as_the_entries_start(int entries) {
        checkOrder(killed(entries, "one", "one", "two", "two")
                .with(
                        new EngineGone(11.5, 0),
                        new EngineGone(12, 1),
                        new StoreAway(12.1, 5),
                        new EntriesKilled(12.2, 0, SHORT_DOWNTIME),
                        new StoreAway(24, 6),
                        new EntriesKilled(25, 1, SHORT_DOWNTIME)));
    }

    // Guards against callers whose streams are all refused after a loss of all entries.
    @Test(dataProvider = "allFleets")
    public void should_continue_streams_when_all_entries_are_killed_while_two_versions_serve(int entries) {
        checkInterrupted(
                killed(entries, "one", "one", "one", "two", "two", "two")
                        .with(
                                new EntriesKilled(10),
                                new EntriesKilled(17, 0, SHORT_DOWNTIME),
                                new EntriesKilled(24, 0, SHORT_DOWNTIME),
                                new EntriesKilled(25.4, 0, SHORT_DOWNTIME)),
                HALF);
    }

    // Guards against a fleet of a single version that refuses streams after a loss of all entries.
    @Test(dataProvider = "allFleets")
    public void should_continue_streams_when_all_entries_are_killed_while_a_single_version_serves(int entries) {
        checkInterrupted(
                killed(entries, "one", "one", "one")
                        .with(
                                new EntriesKilled(5),
                                new EntriesKilled(12, 0, SHORT_DOWNTIME),
                                new EntriesKilled(13.4, 0, SHORT_DOWNTIME),
                                new EntriesKilled(24, 1, SHORT_DOWNTIME)),
                AS_GOOD_AS_NEW);
    }

    // Guards against ordinary days paying for knowledge that nobody needs.
    @Test(dataProvider = "fleets")
    public void should_tell_nobody_when_a_single_version_serves(int entries) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            ResumeSimulation run = new ResumeSimulation(ResumeScenario.of(entries, "one", "one", "one"), seed).run();

            // Until an entry has seen the servers for as long as callers may come back, it asks the others.
            assertTrue(run.messages() < 2 * OriginHolders.ASKED * run.takenUp(), "messages: " + run.messages());
            assertTrue(run.goneOnShare() >= AS_GOOD_AS_NEW * run.begunShare(), shares(run, seed));
        }
    }

    private static int seeds(int entries) {
        return entries > LARGE_FLEET ? Math.max(1, SEEDS / 5) : SEEDS;
    }

    private static ResumeScenario killed(int entries, String... versions) {
        return ResumeScenario.of(entries, versions).withCallersThatReturnWhenRefused();
    }

    private static void checkOrder(ResumeScenario scenario) {
        for (long seed = 1; seed <= seeds(scenario.entries()); seed++) {
            ResumeSimulation run = new ResumeSimulation(scenario, seed).run();

            assertEquals(run.mixed(), 0, "streams of two versions with seed " + seed);
        }
    }

    private static void checkInterrupted(ResumeScenario scenario, double leastPart) {
        check(scenario, leastPart);
        for (long seed = 1; seed <= seeds(scenario.entries()); seed++) {
            ResumeSimulation run = new ResumeSimulation(scenario, seed).run();

            assertTrue(run.interrupted() >= 12, "too few streams are interrupted: " + run.interrupted());
            assertTrue(
                    run.interruptedGoneOnShare() >= leastPart * run.begunShare(),
                    String.format(
                            "seed %d: of %d interrupted streams %.3f went on, of new ones %.3f began",
                            seed, run.interrupted(), run.interruptedGoneOnShare(), run.begunShare()));
        }
    }

    private static void check(ResumeScenario scenario, double leastPart) {
        for (long seed = 1; seed <= seeds(scenario.entries()); seed++) {
            ResumeSimulation run = new ResumeSimulation(scenario, seed).run();

            assertTrue(run.takenUp() >= 12, "too few streams are taken up to tell anything: " + run.takenUp());
            assertEquals(run.mixed(), 0, "streams of two versions with seed " + seed);
            assertTrue(run.goneOnShare() >= leastPart * run.begunShare(), shares(run, seed));
        }
    }

    private static String shares(ResumeSimulation run, long seed) {
        return String.format(
                "seed %d: of %d streams taken up %.3f went on, of new ones %.3f began",
                seed, run.takenUp(), run.goneOnShare(), run.begunShare());
    }
}
