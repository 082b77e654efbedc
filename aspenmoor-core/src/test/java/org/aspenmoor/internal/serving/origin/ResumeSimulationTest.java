package org.aspenmoor.internal.serving.origin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.serving.origin.ResumeScenario.EngineGone;
import org.aspenmoor.internal.serving.origin.ResumeScenario.EngineStarts;
import org.aspenmoor.internal.serving.origin.ResumeScenario.EntryCut;
import org.aspenmoor.internal.serving.origin.ResumeScenario.EntryKilled;
import org.aspenmoor.internal.serving.origin.ResumeScenario.EntryRestarted;
import org.aspenmoor.internal.serving.origin.ResumeScenario.EntrySuspended;
import org.aspenmoor.internal.serving.origin.ResumeScenario.Fault;
import org.aspenmoor.internal.serving.origin.ResumeScenario.StoreAway;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * No stream has events of two versions, whatever happens, and streams that are taken up go on about as well as new ones
 * begin, while two engines of their version serve.
 */
public class ResumeSimulationTest {
    private static final int SEEDS = Integer.getInteger("aspenmoor.seeds", 5);

    /** The users ask for half of the share of new streams; faults of single entries cost far less than that. */
    private static final double AS_GOOD_AS_NEW = 0.9;

    private static final double HALF = 0.5;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{2}, {8}, {34}};
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

    private static void check(ResumeScenario scenario, double leastPart) {
        for (long seed = 1; seed <= SEEDS; seed++) {
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
