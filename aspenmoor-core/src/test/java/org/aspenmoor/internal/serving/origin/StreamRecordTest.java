package org.aspenmoor.internal.serving.origin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What entries write to the store about streams, for entries that start after all have been killed. */
public class StreamRecordTest {
    private static final String SERVICE = "drafting";
    private static final SoftwareVersion OLD = new SoftwareVersion("old");
    private static final SoftwareVersion NEW = new SoftwareVersion("new");
    private static final StreamOrigin FROM_OLD = new StreamOrigin(SERVICE, OLD);
    private static final StreamKey STREAM = StreamKey.of("", "17bd");
    private static final List<KnownStream> BEGAN = List.of(new KnownStream(STREAM, FROM_OLD));

    private ManualOriginNetwork network;
    private StreamOriginTracker tracker;
    private List<ResumeDecision> decisions;

    @BeforeMethod
    public void createTracker() {
        network = new ManualOriginNetwork();
        tracker = new StreamOriginTracker(network, network, Duration.ZERO);
        tracker.configured(Duration.ZERO, Set.of(SERVICE));
        decisions = new ArrayList<>();
        network.setEntries(List.of(), List.of());
    }

    // Guards against callers whose streams nobody knows because all entries were killed.
    @Test
    public void should_continue_a_stream_that_was_recorded_before_this_entry_started() {
        observe(OLD, NEW);
        resolve();
        network.pass(Duration.ofMillis(1));
        assertEquals(decisions, List.of());

        load("a", BEGAN, Duration.ofSeconds(1));

        assertEquals(decisions, List.of(new ResumeDecision.Continue(FROM_OLD, OriginBasis.REMEMBERED)));
    }

    @Test
    public void should_tell_another_entry_what_was_recorded() {
        observe(OLD, NEW);
        load("a", BEGAN, Duration.ofSeconds(1));

        OriginReply reply = tracker.answer("own", new OriginQuestion(1, STREAM, SERVICE));

        assertEquals(reply.origin(), new OriginKnowledge.Known(FROM_OLD));
    }

    // Guards against callers who wait for a store that does not answer.
    @Test
    public void should_refuse_when_the_records_cannot_be_read_in_time() {
        observe(OLD, NEW);
        resolve();
        network.pass(StreamOriginTracker.MAX_WAIT);

        assertTrue(decisions.getFirst() instanceof ResumeDecision.Refuse, decisions.toString());
    }

    @Test
    public void should_ignore_records_that_are_older_than_callers_may_take_up_streams() {
        observe(OLD, NEW);
        load("a", BEGAN, StreamOriginTracker.MIN_WINDOW.plusMinutes(2));
        resolve();
        network.pass(Duration.ofMillis(1));

        assertTrue(decisions.getFirst() instanceof ResumeDecision.Refuse, decisions.toString());
    }

    // Guards against calls to the store that nobody needs while a single version serves.
    @Test
    public void should_neither_read_nor_write_records_when_a_single_version_serves() {
        observe(OLD);
        tracker.streamBegan(List.of(STREAM), FROM_OLD, List.of(SERVICE));

        assertEquals(network.loads(), 0);
        assertEquals(network.recorded(), List.of());
    }

    // Guards against a record that is overwritten by a process that does not know it yet.
    @Test
    public void should_continue_the_record_of_the_process_before() {
        observe(OLD, NEW);
        StreamKey other = StreamKey.of("", "9c41");
        tracker.streamBegan(List.of(other), FROM_OLD, List.of(SERVICE));
        assertEquals(network.recorded(), List.of());

        load("own", BEGAN, Duration.ofSeconds(1));

        assertEquals(
                network.recorded().getFirst().stream().map(KnownStream::stream).toList(), List.of(other, STREAM));
    }

    // Guards against old streams that are written again as new ones by each process that starts.
    @Test
    public void should_not_continue_its_record_when_it_is_older_than_callers_may_take_up_streams() {
        observe(OLD, NEW);
        load("own", BEGAN, StreamOriginTracker.MIN_WINDOW.plusMinutes(2));
        StreamKey other = StreamKey.of("", "9c41");

        tracker.streamBegan(List.of(other), FROM_OLD, List.of(SERVICE));

        assertEquals(
                network.recorded().getFirst().stream().map(KnownStream::stream).toList(), List.of(other));
    }

    // Guards against streams that are never written because the entry that is to write them has not read its own
    // record.
    @Test
    public void should_read_the_records_when_another_entry_asks_it_to_write_streams() {
        observe(OLD);

        tracker.told(BEGAN, true);

        assertEquals(network.loads(), 1);
    }

    // Guards against a store whose rate of calls is used up by records.
    @Test
    public void should_write_streams_that_begin_in_quick_succession_together() {
        observe(OLD, NEW);
        load("own", List.of(), Duration.ZERO);

        IntStream.range(0, 50)
                .forEach(number ->
                        tracker.streamBegan(List.of(StreamKey.of("", "r" + number)), FROM_OLD, List.of(SERVICE)));
        network.pass(StreamRecorder.INTERVAL);

        assertEquals(network.recorded().stream().map(List::size).toList(), List.of(1, 50));
    }

    @Test
    public void should_write_an_empty_record_when_callers_no_longer_take_up_its_streams() {
        observe(OLD, NEW);
        load("own", List.of(), Duration.ZERO);
        tracker.streamBegan(List.of(STREAM), FROM_OLD, List.of(SERVICE));
        network.pass(StreamOriginTracker.MIN_WINDOW.plusSeconds(1));

        observe(OLD, NEW);

        assertEquals(network.recorded().getLast(), List.of());
    }

    // Guards against each entry writing the few streams that begin there by itself.
    @Test
    public void should_have_streams_written_by_few_entries_when_there_are_many() {
        List<String> entries =
                IntStream.range(0, 300).mapToObj(number -> "entry-" + number).toList();
        network.setEntries(entries, entries);
        observe(OLD, NEW);

        IntStream.range(0, 200)
                .forEach(number ->
                        tracker.streamBegan(List.of(StreamKey.of("", "r" + number)), FROM_OLD, List.of(SERVICE)));

        assertEquals(network.toRecord().size(), 200);
        long recorders = network.toRecord().stream()
                .map(ManualOriginNetwork.Told::entry)
                .distinct()
                .count();
        assertTrue(recorders <= OriginHolders.MAX_RECORDERS, "recorders: " + recorders);
    }

    @Test
    public void should_write_the_streams_that_another_entry_asks_it_to_write() {
        observe(OLD, NEW);
        load("own", List.of(), Duration.ZERO);

        tracker.told(BEGAN, true);

        assertEquals(network.recorded(), List.of(BEGAN));
    }

    // Guards against streams of a route that is split between two services, of one version each, that nobody knows
    // after all entries were killed.
    @Test
    public void should_record_streams_of_a_route_that_is_split_between_services_of_one_version_each() {
        tracker.configured(Duration.ZERO, Set.of(SERVICE, "drafting-trial"));
        observe(OLD);
        tracker.serversObserved(ManualOriginNetwork.servers("drafting-trial", OLD), true);
        tracker.streamBegan(List.of(STREAM), FROM_OLD, List.of(SERVICE, "drafting-trial"));
        assertEquals(network.loads(), 1);

        load("own", List.of(), Duration.ZERO);

        assertEquals(network.recorded(), List.of(BEGAN));
    }

    @Test
    public void should_continue_a_recorded_stream_of_a_route_that_is_split_between_services_of_one_version_each() {
        tracker.configured(Duration.ZERO, Set.of(SERVICE, "drafting-trial"));
        observe(OLD);
        tracker.serversObserved(ManualOriginNetwork.servers("drafting-trial", OLD), true);
        tracker.resolve(STREAM, List.of(SERVICE, "drafting-trial"), decisions::add);
        assertEquals(network.loads(), 1);

        load("a", BEGAN, Duration.ofSeconds(1));

        assertEquals(decisions, List.of(new ResumeDecision.Continue(FROM_OLD, OriginBasis.REMEMBERED)));
    }

    private void resolve() {
        tracker.resolve(STREAM, List.of(SERVICE), decisions::add);
    }

    private void load(String entry, List<KnownStream> streams, Duration age) {
        tracker.recordsLoaded(Map.of(entry, new StreamRecord(streams, age)));
    }

    private void observe(SoftwareVersion... versions) {
        tracker.serversObserved(ManualOriginNetwork.servers(SERVICE, versions), true);
    }
}
