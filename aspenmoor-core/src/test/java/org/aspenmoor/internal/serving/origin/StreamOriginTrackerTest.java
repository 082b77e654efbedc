package org.aspenmoor.internal.serving.origin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class StreamOriginTrackerTest {
    private static final String SERVICE = "drafting";
    private static final List<String> SERVICES = List.of(SERVICE);
    private static final SoftwareVersion OLD = new SoftwareVersion("old");
    private static final SoftwareVersion NEW = new SoftwareVersion("new");
    private static final StreamOrigin FROM_OLD = new StreamOrigin(SERVICE, OLD);
    private static final StreamOrigin FROM_NEW = new StreamOrigin(SERVICE, NEW);
    private static final List<String> ENTRIES = List.of("a", "b", "c", "d", "e");
    private static final StreamKey STREAM = StreamKey.of("", "17bd");

    private ManualOriginNetwork network;
    private StreamOriginTracker tracker;
    private List<ResumeDecision> decisions;

    @BeforeMethod
    public void createTracker() {
        network = new ManualOriginNetwork();
        tracker = new StreamOriginTracker(network, network, Duration.ZERO);
        tracker.recordsLoaded(Map.of());
        decisions = new ArrayList<>();
        network.setEntries(ENTRIES, ENTRIES);
    }

    @Test
    public void should_tell_three_entries_of_a_stream_when_two_versions_serve() {
        observe(true, OLD, NEW);

        began(STREAM, FROM_OLD);

        assertEquals(network.told().size(), OriginHolders.TOLD);
        assertEquals(network.told().getFirst().streams(), List.of(new KnownStream(STREAM, FROM_OLD)));
    }

    @Test
    public void should_tell_nobody_of_a_stream_when_a_single_version_serves() {
        observe(true, OLD);

        began(STREAM, FROM_OLD);

        assertEquals(network.told(), List.of());
    }

    // Guards against streams that began while a single version served and are forgotten with the entry that serves
    // them.
    @Test
    public void should_tell_of_the_streams_that_began_before_when_another_version_appears() {
        observe(true, OLD);
        began(STREAM, FROM_OLD);

        observe(true, OLD, NEW);

        assertEquals(network.told().size(), OriginHolders.TOLD);
        assertEquals(network.announcements(), 1);
    }

    // Guards against an entry that hears of a version from another entry before it sees a server of it.
    @Test
    public void should_tell_of_the_streams_that_began_before_when_another_entry_reports_a_version() {
        observe(true, OLD);
        began(STREAM, FROM_OLD);

        tracker.versionsReported(List.of(new VersionSighting(SERVICE, NEW, Duration.ofSeconds(1))));

        assertEquals(network.told().size(), OriginHolders.TOLD);
    }

    // Guards against the first entries to be told being others than those that are asked.
    @Test
    public void should_ask_the_entries_that_are_told_by_others() {
        observe(true, OLD, NEW);
        began(STREAM, FROM_OLD);
        StreamOriginTracker asking = new StreamOriginTracker(network, network, Duration.ZERO);

        asking.resolve(STREAM, SERVICES, decisions::add);

        assertTrue(network.asked()
                .containsAll(network.told().stream()
                        .map(ManualOriginNetwork.Told::entry)
                        .toList()));
    }

    @Test
    public void should_continue_at_once_when_it_is_known_here_what_began_the_stream() {
        observe(true, OLD, NEW);
        began(STREAM, FROM_NEW);

        resolve(STREAM);

        assertEquals(decisions, List.of(new ResumeDecision.Continue(FROM_NEW, OriginBasis.REMEMBERED)));
        assertEquals(network.asked(), List.of());
    }

    @Test
    public void should_continue_as_soon_as_one_entry_knows_what_began_the_stream() {
        observe(true, OLD, NEW);
        resolve(STREAM);

        reply("c", new OriginKnowledge.Known(FROM_OLD));

        assertEquals(decisions, List.of(new ResumeDecision.Continue(FROM_OLD, OriginBasis.REMEMBERED)));
    }

    // Guards against an entry that has just started and takes the first reply for the last one.
    @Test
    public void should_wait_for_all_replies_when_no_report_of_the_others_has_been_received() {
        network.setEntries(ENTRIES, List.of());
        observe(true, OLD, NEW);
        resolve(STREAM);

        reply("a", new OriginKnowledge.Unknown());
        assertEquals(decisions, List.of());
        reply("b", new OriginKnowledge.Known(FROM_NEW));
        assertEquals(decisions, List.of(new ResumeDecision.Continue(FROM_NEW, OriginBasis.REMEMBERED)));
    }

    // Guards against a stream that goes on as another one because a reply to the process before a restart comes late.
    @Test
    public void should_ignore_a_reply_to_a_question_of_the_process_before() {
        network.setWallClockTime(Instant.ofEpochMilli(1_000));
        tracker = new StreamOriginTracker(network, network, Duration.ZERO);
        observe(true, OLD, NEW);
        resolve(STREAM);

        reply("a", new OriginKnowledge.Known(FROM_OLD));

        assertEquals(decisions, List.of());
    }

    // Guards against a stream that goes on at a version by guess.
    @Test
    public void should_refuse_when_nobody_knows_the_stream_and_two_versions_serve() {
        observe(true, OLD, NEW);
        resolve(STREAM);
        ENTRIES.forEach(entry -> reply(entry, new OriginKnowledge.Unknown()));

        assertRefused();
    }

    // Guards against callers who wait for entries that have stopped.
    @Test
    public void should_decide_when_no_reply_comes_in_time() {
        observe(true, OLD, NEW);
        resolve(STREAM);
        network.pass(StreamOriginTracker.MAX_WAIT);

        assertRefused();
        assertEquals(network.asked().size(), 2 * ENTRIES.size(), "each entry is asked once more");
    }

    @Test
    public void should_continue_without_asking_when_a_single_version_has_served_for_long() {
        observeFor(StreamOriginTracker.MIN_WINDOW, true, OLD);

        resolve(STREAM);

        assertEquals(decisions, List.of(new ResumeDecision.Continue(FROM_OLD, OriginBasis.ONLY_VERSION)));
        assertEquals(network.asked(), List.of());
    }

    // Guards against an entry that has started after a version has gone.
    @Test
    public void should_refuse_when_this_entry_has_just_started_and_another_one_knows_of_a_second_version() {
        observe(true, OLD);
        resolve(STREAM);

        tracker.replied(new OriginReply(
                "a",
                1,
                new OriginKnowledge.Unknown(),
                List.of(new VersionSighting(SERVICE, NEW, Duration.ofSeconds(9))),
                true));
        network.pass(StreamOriginTracker.MAX_WAIT);

        assertRefused();
    }

    // Guards against an entry that is cut off and takes the version that it knows for the only one.
    @Test
    public void should_refuse_when_neither_the_store_nor_another_entry_is_reached() {
        observeFor(StreamOriginTracker.MIN_WINDOW, true, OLD);
        observe(false, OLD);
        resolve(STREAM);
        network.pass(StreamOriginTracker.MAX_WAIT);

        assertRefused();
    }

    // Guards against a suspended process that goes on by what it knew before.
    @Test
    public void should_ask_when_the_process_has_been_suspended() {
        observeFor(StreamOriginTracker.MIN_WINDOW, true, OLD);
        network.pass(Duration.ofSeconds(2));

        resolve(STREAM);

        assertEquals(network.asked().size(), ENTRIES.size());
    }

    // Guards against two callers with the same request id, of whom one would get the rest of the other version.
    @Test
    public void should_refuse_when_two_streams_with_the_same_id_began_at_different_versions() {
        observe(true, OLD, NEW);
        began(STREAM, FROM_OLD);
        tracker.told(List.of(new KnownStream(STREAM, FROM_NEW)), false);

        resolve(STREAM);

        assertRefused();
    }

    // Guards against a caller that names a stream of another organisation.
    @Test
    public void should_not_know_a_stream_of_another_organisation() {
        observe(true, OLD, NEW);
        began(StreamKey.of("hule", "17bd"), FROM_OLD);

        resolve(StreamKey.of("fida", "17bd"));

        assertEquals(decisions, List.of());
        assertEquals(network.asked().size(), ENTRIES.size());
    }

    @Test
    public void should_refuse_when_the_stream_has_begun_at_another_service() {
        observe(true, OLD, NEW);
        began(STREAM, new StreamOrigin("other", OLD));

        resolve(STREAM);

        assertRefused();
    }

    // Guards against callers of an older version, who do not say which stream they take up.
    @Test
    public void should_refuse_when_the_stream_is_not_stated_and_two_versions_serve() {
        observe(true, OLD, NEW);
        began(STREAM, FROM_OLD);

        resolve(StreamKey.unstated(""));
        ENTRIES.forEach(entry -> reply(entry, new OriginKnowledge.Unknown()));

        assertRefused();
    }

    @Test
    public void should_forget_a_version_when_callers_no_longer_come_back_to_its_streams() {
        observe(true, OLD, NEW);
        observeFor(StreamOriginTracker.MIN_WINDOW.plusSeconds(1), true, NEW);

        assertEquals(tracker.versionsToReport(), List.of());
    }

    // Guards against streams that are forgotten before callers with long requests come back.
    @Test
    public void should_remember_streams_for_longer_when_requests_may_take_longer() {
        tracker.configured(Duration.ofMinutes(5), Set.of(SERVICE));
        observe(true, OLD, NEW);
        began(STREAM, FROM_OLD);
        observeFor(Duration.ofMinutes(9), true, OLD, NEW);

        resolve(STREAM);

        assertEquals(decisions, List.of(new ResumeDecision.Continue(FROM_OLD, OriginBasis.REMEMBERED)));
    }

    // Guards against a process that runs out of memory under a flood of streams.
    @Test
    public void should_forget_the_oldest_streams_when_there_are_too_many() {
        observe(true, OLD, NEW);
        IntStream.range(0, 50_000).forEach(number -> began(StreamKey.of("", "r" + number), FROM_OLD));

        assertEquals(tracker.rememberedStreams(), 20_000);
        resolve(StreamKey.of("", "r49999"));
        assertEquals(decisions, List.of(new ResumeDecision.Continue(FROM_OLD, OriginBasis.REMEMBERED)));
    }

    // Guards against knowledge that is lost while all entries are restarted in turn.
    @Test
    public void should_tell_others_what_is_remembered_when_this_entry_stops() {
        observe(true, OLD, NEW);
        tracker.told(List.of(new KnownStream(STREAM, FROM_OLD)), false);

        tracker.handOver();

        assertEquals(network.told().size(), OriginHolders.TOLD);
    }

    @Test
    public void should_not_decide_when_the_caller_has_left() {
        observe(true, OLD, NEW);
        tracker.resolve(STREAM, SERVICES, decisions::add).orElseThrow().cancel();
        ENTRIES.forEach(entry -> reply(entry, new OriginKnowledge.Unknown()));
        network.pass(StreamOriginTracker.MAX_WAIT);

        assertEquals(decisions, List.of());
    }

    @Test
    public void should_answer_what_is_known_when_asked() {
        observe(true, OLD, NEW);
        began(STREAM, FROM_OLD);

        OriginReply reply = tracker.answer("here", new OriginQuestion(7, STREAM, SERVICE));

        assertEquals(reply.origin(), new OriginKnowledge.Known(FROM_OLD));
        assertEquals(reply.versions().size(), 2);
        assertEquals(reply.number(), 7);
    }

    private void resolve(StreamKey stream) {
        tracker.resolve(stream, SERVICES, decisions::add);
    }

    private void reply(String entry, OriginKnowledge knowledge) {
        tracker.replied(new OriginReply(entry, 1, knowledge, List.of(), true));
    }

    private void assertRefused() {
        assertEquals(decisions.size(), 1);
        assertTrue(decisions.getFirst() instanceof ResumeDecision.Refuse, decisions.toString());
    }

    private void began(StreamKey stream, StreamOrigin origin) {
        tracker.streamBegan(List.of(stream), origin, SERVICES);
    }

    private void observe(boolean current, SoftwareVersion... versions) {
        tracker.serversObserved(ManualOriginNetwork.servers(SERVICE, versions), current);
    }

    private void observeFor(Duration duration, boolean current, SoftwareVersion... versions) {
        Duration interval = Duration.ofMillis(100);
        for (Duration passed = Duration.ZERO; passed.compareTo(duration) <= 0; passed = passed.plus(interval)) {
            observe(current, versions);
            network.pass(interval);
        }
        observe(current, versions);
    }
}
