package org.aspenmoor.internal.serving.origin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What entries state in the store of the versions that serve, and what an entry that has just started concludes. */
public class OriginStatementTest {
    private static final String SERVICE = "drafting";
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

    // Guards against a single-version fleet that refuses the streams of all callers after a loss of power.
    @Test
    public void should_continue_when_all_entries_have_just_started_and_have_stated_a_single_version() {
        observe(true, OLD);
        listed(FROM_OLD);
        network.setEntries(ENTRIES, List.of());
        resolve(STREAM);
        network.pass(StreamOriginTracker.MAX_WAIT);

        assertEquals(decisions, List.of(new ResumeDecision.Continue(FROM_OLD, OriginBasis.ONLY_VERSION)));
    }

    // Guards against entries that have all just started and take the version whose servers are left for the only one.
    @Test
    public void should_refuse_when_all_entries_have_just_started_and_have_stated_another_version() {
        observe(true, NEW);
        listed(FROM_OLD);
        resolve(STREAM);
        replies(false);

        assertRefused();
    }

    // Guards against an entry that takes the ignorance of another one, which has just started too, for knowledge.
    @Test
    public void should_refuse_when_no_statement_has_been_read_and_the_others_have_just_started() {
        observe(true, OLD);
        resolve(STREAM);
        replies(false);
        network.pass(StreamOriginTracker.MAX_WAIT);

        assertRefused();
    }

    // Guards against callers that are refused in the moment between the start of an entry and its first look at the
    // store.
    @Test
    public void should_wait_for_the_statements_when_this_entry_has_just_started() {
        observe(true, OLD);
        resolve(STREAM);
        replies(false);
        assertEquals(decisions, List.of());

        listed(FROM_OLD);

        assertEquals(decisions, List.of(new ResumeDecision.Continue(FROM_OLD, OriginBasis.ONLY_VERSION)));
    }

    // Guards against a version that has served while this entry could not see the servers, and that has left since.
    @Test
    public void should_list_the_statements_again_when_the_servers_are_seen_again() {
        observe(true, OLD);
        listed(FROM_OLD);
        observe(false, OLD);
        network.pass(Duration.ofMillis(100));
        observe(true, OLD);

        resolve(STREAM);
        replies(false);
        network.pass(StreamOriginTracker.MAX_WAIT);

        assertRefused();
        assertEquals(network.listingRequests(), 2);
    }

    // Guards against entries that served on while the store was away, and whose statements have become old by that.
    @Test
    public void should_refuse_when_another_version_was_stated_before_a_long_outage_of_the_store() {
        observe(true, NEW);
        listedOf("a", Duration.ofMinutes(10), FROM_OLD);
        resolve(STREAM);
        replies(false);

        assertRefused();
    }

    // Guards against streams that are refused for an hour because an entry was removed for good.
    @Test
    public void should_ignore_a_statement_that_is_not_renewed_when_the_servers_were_seen_for_long() {
        observeFor(StreamOriginTracker.MIN_WINDOW, NEW);
        listedOf("a", Duration.ofMinutes(10), FROM_OLD);
        resolve(STREAM);

        assertEquals(decisions, List.of(new ResumeDecision.Continue(FROM_NEW, OriginBasis.ONLY_VERSION)));
    }

    // Guards against an entry that overwrites what the process before it has stated, before it has read it.
    @Test
    public void should_state_nothing_until_the_statements_have_been_read() {
        tracker.configured(Duration.ZERO, Set.of(SERVICE));
        observe(true, NEW);
        assertEquals(network.stated(), List.of());

        listed(FROM_OLD);

        assertEquals(network.stated(), List.of(Set.of(FROM_OLD, FROM_NEW)));
    }

    @Test
    public void should_state_a_version_until_callers_no_longer_take_up_its_streams() {
        tracker.configured(Duration.ZERO, Set.of(SERVICE));
        listed();
        observe(true, OLD);
        observeFor(StreamOriginTracker.MIN_WINDOW.plusSeconds(1), NEW);

        assertEquals(network.stated(), List.of(Set.of(FROM_OLD), Set.of(FROM_OLD, FROM_NEW), Set.of(FROM_NEW)));
    }

    // Guards against deployments that pay for statements though no caller takes up a stream.
    @Test
    public void should_state_nothing_when_no_service_may_be_resumed() {
        listed();
        observe(true, OLD);

        assertEquals(network.stated(), List.of());
    }

    @Test
    public void should_begin_streams_at_a_version_when_the_store_has_accepted_its_statement() {
        assertEquals(tracker.statedVersions(SERVICE), Set.of());

        tracker.statementAccepted(Set.of(FROM_OLD));

        assertEquals(tracker.statedVersions(SERVICE), Set.of(OLD));
    }

    @Test
    public void should_continue_when_the_only_entry_no_longer_reaches_the_store() {
        network.setEntries(List.of(), List.of());
        observe(true, OLD);
        listed(FROM_OLD);
        observe(false, OLD);
        resolve(STREAM);
        network.pass(Duration.ofMillis(1));

        assertEquals(decisions, List.of(new ResumeDecision.Continue(FROM_OLD, OriginBasis.ONLY_VERSION)));
    }

    // Guards against an entry that has never known which versions have served.
    @Test
    public void should_refuse_when_the_only_entry_has_never_read_the_statements() {
        network.setEntries(List.of(), List.of());
        observe(false, OLD);
        resolve(STREAM);
        network.pass(StreamOriginTracker.MAX_WAIT);

        assertRefused();
    }

    @Test
    public void should_continue_when_an_entry_that_has_known_all_versions_knows_of_no_other() {
        observe(true, OLD);
        resolve(STREAM);
        replies(true);

        assertEquals(decisions, List.of(new ResumeDecision.Continue(FROM_OLD, OriginBasis.ONLY_VERSION)));
    }

    // Guards against a stream of a service whose servers have left that goes on at the other service of its route.
    @Test
    public void should_refuse_when_an_entry_has_told_of_the_versions_of_one_of_two_services_only() {
        observe(true, OLD);
        tracker.resolve(STREAM, List.of(SERVICE, "drafting-trial"), decisions::add);
        replies(true);
        network.pass(StreamOriginTracker.MAX_WAIT);

        assertRefused();
    }

    // Guards against a version that returns while the statement is written that it has left: the store may be without
    // it for a moment.
    @Test
    public void should_begin_no_stream_at_a_version_that_returns_until_it_is_stated_again() {
        tracker.configured(Duration.ZERO, Set.of(SERVICE));
        listed();
        observe(true, OLD, NEW);
        tracker.statementAccepted(Set.of(FROM_OLD, FROM_NEW));
        observeFor(StreamOriginTracker.MIN_WINDOW.plusSeconds(1), OLD);

        observe(true, OLD, NEW);

        assertEquals(tracker.statedVersions(SERVICE), Set.of(OLD));
    }

    // Guards against an entry that answers what was asked while it was suspended, before it looks at the servers again.
    @Test
    public void should_not_confirm_that_there_is_no_other_version_when_this_entry_was_suspended() {
        observe(true, OLD);
        listed(FROM_OLD);
        OriginQuestion question = new OriginQuestion(1, STREAM, SERVICE);
        assertTrue(tracker.answer("own", question).informed());

        network.pass(Duration.ofSeconds(6));

        assertFalse(tracker.answer("own", question).informed());
    }

    private void resolve(StreamKey stream) {
        tracker.resolve(stream, List.of(SERVICE), decisions::add);
    }

    private void replies(boolean informed) {
        for (String entry : ENTRIES) {
            tracker.replied(new OriginReply(entry, 1, new OriginKnowledge.Unknown(), List.of(), informed));
        }
    }

    /** Lets this entry read what it has stated itself. */
    private void listed(StreamOrigin... origins) {
        listedOf("own", Duration.ZERO, origins);
    }

    private void listedOf(String entry, Duration age, StreamOrigin... origins) {
        OriginStatement statement = new OriginStatement(Set.of(origins), age);
        tracker.statementsListed(new OriginListing(Map.of(entry, statement), network.monotonicNanos()));
    }

    private void assertRefused() {
        assertEquals(decisions.size(), 1);
        assertTrue(decisions.getFirst() instanceof ResumeDecision.Refuse, decisions.toString());
    }

    private void observe(boolean current, SoftwareVersion... versions) {
        tracker.serversObserved(ManualOriginNetwork.servers(SERVICE, versions), current);
    }

    private void observeFor(Duration duration, SoftwareVersion... versions) {
        Duration interval = Duration.ofMillis(100);
        for (Duration passed = Duration.ZERO; passed.compareTo(duration) <= 0; passed = passed.plus(interval)) {
            observe(true, versions);
            network.pass(interval);
        }
    }
}
