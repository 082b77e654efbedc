package org.aspenmoor.internal.serving.freshness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.aspenmoor.internal.dissemination.RendezvousHash;
import org.testng.annotations.Test;

public class CollectionFreshnessTest {
    private static final long MILLISECOND = 1_000_000;
    private static final ObservedCollection SERVERS = ObservedCollection.SERVERS;
    private static final CollectionState STATE = new CollectionState(1, 10);
    private static final CollectionState OTHER = new CollectionState(1, 11);
    private static final FreshnessBounds BOUNDS = new FreshnessBounds(
            FreshnessScenario.BOUND, FreshnessScenario.CALL_TIMEOUT, FreshnessScenario.SERVER_PAUSE);
    private static final long LIMIT = BOUNDS.confirmationLimit().toNanos();

    /** All entries, the first to poll on behalf of the others first. */
    private static final List<String> RANKED = RendezvousHash.rank(
            SERVERS.name(),
            IntStream.range(0, 20).mapToObj(number -> "entry-" + number).toList());

    private long sequence;

    // Guards against polls that differ from those of a deployment with few entries.
    @Test
    public void should_poll_as_before_when_few_entries_are_heard() {
        CollectionFreshness freshness = confirmed(RANKED.getLast());
        for (String peer : RANKED.subList(0, CollectionFreshness.MIN_ENTRIES - 2)) {
            freshness.peerObserved(peer, observation(STATE, 0, 0));
        }

        NextPoll next = freshness.next(0);

        assertEquals(
                next, new NextPoll(FreshnessScenario.SERVER_PAUSE, FreshnessScenario.POLL_WAIT, PollReason.REGULAR));
        assertFalse(next.retried());
    }

    @Test
    public void should_poll_as_before_when_the_bound_leaves_too_little_time() {
        FreshnessBounds tight =
                new FreshnessBounds(Duration.ofSeconds(2), FreshnessScenario.CALL_TIMEOUT, Duration.ofMillis(700));
        assertFalse(tight.sufficient());
        CollectionFreshness freshness = new CollectionFreshness(
                "one", SERVERS, new RegularPolling(Duration.ofSeconds(1), Duration.ZERO), Optional.of(tight));
        RANKED.forEach(peer -> freshness.peerObserved(peer, observation(STATE, 0, 0)));

        assertEquals(freshness.next(0).reason(), PollReason.REGULAR);
        assertTrue(freshness.observation(0).isEmpty());
    }

    // Guards against fewer observers than planned, or none.
    @Test
    public void should_poll_on_behalf_of_others_when_ranked_among_the_first_three() {
        for (String entry : RANKED.subList(0, 3)) {
            CollectionFreshness freshness = withPeers(entry);
            assertEquals(freshness.next(0).reason(), PollReason.OBSERVER, entry);
        }
        assertEquals(withPeers(RANKED.get(3)).next(0).reason(), PollReason.CONFIRMATION_OLD);
    }

    // Guards against a group without observers after those ranked first have lost the store.
    @Test
    public void should_replace_observers_when_their_own_calls_are_too_old() {
        CollectionFreshness freshness = withPeers(RANKED.get(3));
        freshness.peerObserved(RANKED.getFirst(), observation(STATE, -2 * LIMIT, 0));

        assertEquals(freshness.next(0).reason(), PollReason.OBSERVER);
    }

    // Guards against a confirmation that leaves no time for a failed call and its retry.
    @Test
    public void should_poll_when_the_confirmation_reaches_the_limit() {
        CollectionFreshness freshness = withPeers(RANKED.getLast());
        freshness.peerObserved(RANKED.getFirst(), observation(STATE, 500 * MILLISECOND, 600 * MILLISECOND));

        NextPoll next = freshness.next(600 * MILLISECOND);

        assertEquals(next.reason(), PollReason.CONFIRMATION_OLD);
        assertEquals(next.delay().toNanos(), LIMIT - 100 * MILLISECOND);
        assertTrue(next.retried());
        Duration failedCallAndRetry = FreshnessScenario.CALL_TIMEOUT.multipliedBy(2);
        assertTrue(BOUNDS.confirmationLimit().plus(failedCallAndRetry).compareTo(FreshnessScenario.BOUND) < 0);
    }

    // Guards against an entry that learns of a draining server only when its confirmation has become too old.
    @Test
    public void should_poll_at_once_when_a_peer_saw_another_state_more_recently() {
        CollectionFreshness freshness = withPeers(RANKED.getLast());

        assertFalse(freshness.peerObserved(RANKED.getFirst(), observation(OTHER, -1, 1)), "older than the own call");
        assertTrue(freshness.peerObserved(RANKED.getFirst(), observation(OTHER, MILLISECOND, MILLISECOND)));

        assertEquals(freshness.next(MILLISECOND).reason(), PollReason.OTHER_STATE);
        assertTrue(freshness.next(MILLISECOND).due());
    }

    // Guards against a poll for each report of a peer that reads the same registrations differently.
    @Test
    public void should_poll_as_often_as_before_when_a_peer_always_disagrees() {
        CollectionFreshness freshness = withPeers(RANKED.getLast());
        freshness.pollSent(PollReason.OTHER_STATE, MILLISECOND);
        freshness.pollAnswered(MILLISECOND, true, MILLISECOND);
        freshness.peerObserved(RANKED.getFirst(), observation(OTHER, 2 * MILLISECOND, 2 * MILLISECOND));

        NextPoll next = freshness.next(2 * MILLISECOND);

        assertEquals(next.reason(), PollReason.OTHER_STATE);
        assertEquals(next.delay(), FreshnessScenario.SERVER_PAUSE.minusMillis(1));
    }

    // Guards against an entry that follows peers back to a copy of the store from before it was restored.
    @Test
    public void should_ignore_states_of_earlier_generations_and_poll_when_a_later_one_is_seen() {
        CollectionFreshness freshness = withPeers(RANKED.getLast());

        assertFalse(freshness.peerObserved(
                RANKED.getFirst(), observation(new CollectionState(0, 11), MILLISECOND, MILLISECOND)));
        assertTrue(freshness.peerObserved(
                RANKED.getFirst(), observation(new CollectionState(2, 10), MILLISECOND, MILLISECOND)));
    }

    // Guards against equal digests of different contents that are never noticed.
    @Test
    public void should_poll_after_the_longest_interval_although_peers_confirm() {
        CollectionFreshness freshness = withPeers(RANKED.getLast());
        long later = BOUNDS.longestOwnInterval(SERVERS).toNanos();
        RANKED.forEach(peer -> freshness.peerObserved(peer, observation(STATE, later, later)));

        assertEquals(freshness.next(later).reason(), PollReason.LONGEST_INTERVAL);
        assertTrue(freshness.next(later).due());
    }

    // Guards against relisting after each long interval at a store that keeps its changes for a short time.
    @Test
    public void should_poll_more_often_when_the_store_no_longer_had_the_changes() {
        CollectionFreshness freshness = withPeers(RANKED.getLast());
        long later = Duration.ofSeconds(8).toNanos();
        freshness.historyMissing(later);
        RANKED.forEach(peer -> freshness.peerObserved(peer, observation(STATE, later / 2, later / 2)));

        assertEquals(freshness.next(later / 2).reason(), PollReason.LONGEST_INTERVAL);
    }

    // Guards against a delayed report that counts from when it arrives although a later one has been received.
    @Test
    public void should_ignore_a_report_that_arrives_after_a_later_one() {
        CollectionFreshness freshness = withPeers(RANKED.getLast());
        PeerObservation delayed = observation(OTHER, MILLISECOND, MILLISECOND);
        freshness.peerObserved(RANKED.getFirst(), observation(STATE, MILLISECOND, MILLISECOND));

        assertFalse(freshness.peerObserved(RANKED.getFirst(), delayed));
        assertEquals(freshness.next(MILLISECOND).reason(), PollReason.CONFIRMATION_OLD);
    }

    // Guards against an entry that does not report a new state, or that repeats what it heard from others.
    @Test
    public void should_report_at_once_when_it_is_the_first_to_see_a_state() {
        CollectionFreshness freshness = withPeers(RANKED.getLast());

        assertTrue(freshness.applied(OTHER, MILLISECOND));
        CollectionState third = new CollectionState(1, 12);
        freshness.peerObserved(RANKED.getFirst(), observation(third, MILLISECOND, MILLISECOND));
        assertFalse(freshness.applied(third, 2 * MILLISECOND));
    }

    @Test
    public void should_have_the_same_digest_when_the_same_objects_were_read_in_another_order() {
        CollectionDigest one = new CollectionDigest();
        one.put("a", 1);
        one.put("b", 2);
        CollectionDigest other = new CollectionDigest();
        other.put("b", 3);
        other.put("c", 3);
        other.put("a", 1);
        assertFalse(one.value() == other.value());
        other.put("b", 2);
        other.remove("c");

        assertEquals(other.value(), one.value());
    }

    private CollectionFreshness withPeers(String entry) {
        CollectionFreshness freshness = confirmed(entry);
        RANKED.stream()
                .filter(peer -> !peer.equals(entry))
                .forEach(peer -> freshness.peerObserved(peer, observation(STATE, 0, 0)));
        return freshness;
    }

    private static CollectionFreshness confirmed(String entry) {
        CollectionFreshness freshness = new CollectionFreshness(
                entry,
                SERVERS,
                new RegularPolling(FreshnessScenario.POLL_WAIT, FreshnessScenario.SERVER_PAUSE),
                Optional.of(BOUNDS));
        freshness.pollSent(PollReason.REGULAR, 0);
        freshness.pollAnswered(0, true, 0);
        freshness.applied(STATE, 0);
        return freshness;
    }

    private PeerObservation observation(CollectionState state, long observedAt, long receivedAt) {
        return new PeerObservation(
                1, ++sequence, state, Duration.ofNanos(receivedAt - observedAt), observedAt, receivedAt);
    }
}
