package org.aspenmoor.internal.serving.freshness;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.dissemination.StableHash;
import org.aspenmoor.internal.serving.ReportInterval;

/**
 * Decides when one entry polls a collection next. Every entry polling by itself makes the number of calls to the store
 * grow with the number of entries. With about twelve entries or more, a few observers poll on behalf of all; another
 * entry polls only when nobody has confirmed its state recently enough, when a peer saw another state, or when the
 * longest interval between its own polls has passed.
 *
 * <p>The content always comes from the store. Whatever the peers do, a change is known within the bound while the entry
 * reaches the store, because the age of a confirmation is counted from when the confirming call was sent, and because
 * only calls confirm: nobody passes on what another entry has reported.
 *
 * <p>Thread-safe: the thread that polls asks, the event loop passes in reports. {@code now} is the monotonic clock in
 * nanoseconds.
 */
public final class CollectionFreshness {
    /** With fewer entries there are hardly more polls than the observers would make. */
    static final int MIN_ENTRIES = 12;

    private static final int MIN_OBSERVERS = 3;

    /** Many entries report rarely, so that the reports of more observers are needed for confirmations to stay young. */
    private static final int ENTRIES_PER_OBSERVER = 15;

    /** A poll that only asks for the state; the store is not relied on to accept a wait of zero. */
    static final Duration NO_WAIT = Duration.ofMillis(1);

    /** Intervals differ between entries by up to this fraction, so that their polls do not stay in step. */
    private static final double SPREAD = 0.1;

    private final ObservedCollection collection;
    private final RegularPolling regular;
    private final Optional<Duration> bound;
    private final Optional<FreshnessBounds> bounds;
    private final PeerObservations peers;
    private final double intervalFactor;
    private final Map<PollReason, Long> polls = new EnumMap<>(PollReason.class);
    private Optional<Observation> applied = Optional.empty();
    private Optional<Long> appliedConfirmedAt = Optional.empty();
    private Optional<Long> answeredCallSentAt = Optional.empty();
    private Optional<Long> lastOtherStatePoll = Optional.empty();
    private PollReason lastReason = PollReason.REGULAR;
    private volatile Runnable earlierPollListener = () -> {};
    private boolean watchStarted = true;
    private long pauseUntil;
    private long longestInterval;

    /**
     * Creates the decision for one collection.
     *
     * @param entry the name of this entry
     * @param regular how this entry polls when nobody confirms anything
     * @param bounds the time limits; without them, or where they leave too little time, entries share nothing
     */
    public CollectionFreshness(
            String entry, ObservedCollection collection, RegularPolling regular, Optional<FreshnessBounds> bounds) {
        this.collection = collection;
        this.regular = regular;
        this.bound = bounds.map(FreshnessBounds::bound);
        this.bounds = bounds.filter(FreshnessBounds::sufficient);
        this.peers = new PeerObservations(entry, collection);
        double position = (StableHash.of(entry, collection.name()) >>> 11) * 0x1.0p-53;
        this.intervalFactor = 1 - SPREAD * position;
        this.longestInterval = this.bounds
                .map(limits -> spread(limits.longestOwnInterval(collection)))
                .orElse(Long.MAX_VALUE);
    }

    /** Returns when and how the collection is polled next. */
    public synchronized NextPoll next(long now) {
        peers.expire(now);
        if (!shared()) {
            return regularPoll(now);
        }
        if (watchStarted || answeredCallSentAt.isEmpty()) {
            return new NextPoll(Duration.ZERO, NO_WAIT, PollReason.STARTED);
        }
        return sharedPoll(bounds.orElseThrow(), now);
    }

    /** Records that a watch starts, whose first poll is not delayed. */
    public synchronized void watchStarted() {
        watchStarted = true;
    }

    /** Records that a poll is sent. */
    public synchronized void pollSent(PollReason reason, long now) {
        polls.merge(reason, 1L, Long::sum);
        lastReason = reason;
        if (reason == PollReason.OTHER_STATE) {
            lastOtherStatePoll = Optional.of(now);
        }
    }

    /** Records that the store has answered a poll. */
    public synchronized void pollAnswered(long sentAt, boolean changes, long now) {
        watchStarted = false;
        answeredCallSentAt = Optional.of(sentAt);
        pauseUntil = changes ? now + regular.pauseAfterChanges().toNanos() : now;
    }

    /** Records that the store no longer had the changes since the last poll, so that the next interval is shorter. */
    public synchronized void historyMissing(long now) {
        if (bounds.isPresent() && answeredCallSentAt.isPresent()) {
            long gap = now - answeredCallSentAt.get();
            long shortest = bounds.get().otherStateInterval().toNanos();
            longestInterval = Math.max(shortest, Math.min(longestInterval, gap / 2));
        }
    }

    /**
     * Records that everything that a call returned has been passed on to the event loop. Returns whether this entry is
     * the first, as far as it knows, to see the state, so that it should report at once.
     */
    public synchronized boolean applied(CollectionState state, long sentAt) {
        boolean changed = applied.isPresent() && !applied.get().state().equals(state);
        applied = Optional.of(new Observation(state, sentAt));
        appliedConfirmedAt =
                peers.lastSeen(state).filter(seen -> seen - sentAt > 0).or(() -> Optional.of(sentAt));
        return shared() && changed && peers.lastSeen(state).isEmpty();
    }

    /** Records what another entry reported; returns whether the next poll may now be due earlier. */
    synchronized boolean peerObserved(String sender, PeerObservation observation) {
        if (!peers.receive(sender, observation) || !shared() || applied.isEmpty() || answeredCallSentAt.isEmpty()) {
            return false;
        }
        boolean otherState = !observation.state().equals(applied.get().state());
        if (!otherState && observation.observedAt() - appliedConfirmedAt.orElseThrow() > 0) {
            appliedConfirmedAt = Optional.of(observation.observedAt());
        }
        boolean younger = observation.observedAt() - answeredCallSentAt.get() > 0;
        return otherState && younger && otherStateSeen(confirmedAt().orElseThrow());
    }

    /** Sets what is called, on the event loop, when the next poll may be due earlier than the last answer said. */
    public void onEarlierPoll(Runnable listener) {
        earlierPollListener = listener;
    }

    void notifyEarlierPoll() {
        earlierPollListener.run();
    }

    /** Records that another entry stops. */
    synchronized void peerStopped(String sender) {
        peers.remove(sender);
    }

    /** Returns what this entry reports: the state that its own last call returned. */
    public synchronized Optional<CollectionObservation> observation(long now) {
        return bounds.isEmpty()
                ? Optional.empty()
                : applied.map(own -> new CollectionObservation(
                        collection,
                        own.state().generation(),
                        own.state().digest(),
                        Duration.ofNanos(now - own.sentAt())));
    }

    /** Returns when the applied state was last confirmed, by this entry or another one; empty before the first poll. */
    synchronized Optional<Long> appliedConfirmedAt() {
        return appliedConfirmedAt;
    }

    /** Returns the time within which a change must be in force; empty if the settings state none. */
    Optional<Duration> bound() {
        return bound;
    }

    /** Returns how up to date the collection is. */
    public synchronized FreshnessStatus status(long now) {
        peers.expire(now);
        return new FreshnessStatus(
                collection,
                confirmedAt().map(at -> Duration.ofNanos(now - at)),
                confirmedByPeers(),
                bounds.map(limits -> peers.youngBeforeSelf(limits.confirmationLimit()))
                        .orElse(0),
                polls);
    }

    private boolean shared() {
        return bounds.isPresent() && peers.count() + 1 >= MIN_ENTRIES;
    }

    private NextPoll regularPoll(long now) {
        long delay = watchStarted ? 0 : Math.max(0, pauseUntil - now);
        return new NextPoll(Duration.ofNanos(delay), regular.storeWait(), PollReason.REGULAR);
    }

    private NextPoll sharedPoll(FreshnessBounds limits, long now) {
        long confirmed = confirmedAt().orElseThrow();
        NextPoll next = poll(answeredCallSentAt.orElseThrow() + longestInterval, PollReason.LONGEST_INTERVAL, now);
        next = earlier(next, poll(confirmed + limits.confirmationLimit().toNanos(), PollReason.CONFIRMATION_OLD, now));
        int observersBefore = peers.youngBeforeSelf(limits.confirmationLimit());
        if (observersBefore < observerCount()) {
            next = earlier(next, observerPoll(limits, observersBefore, confirmed, now));
        }
        if (otherStateSeen(confirmed)) {
            long due = lastOtherStatePoll
                    .map(last -> last + limits.otherStateInterval().toNanos())
                    .orElse(now);
            next = earlier(next, poll(due, PollReason.OTHER_STATE, now));
        }
        return next;
    }

    /**
     * The first observer of the configuration keeps a long poll open, so that a new version is usually known at once.
     * Servers change with every heartbeat, and a long poll for them would return at once.
     */
    private NextPoll observerPoll(FreshnessBounds limits, int observersBefore, long confirmed, long now) {
        if (collection == ObservedCollection.CONFIGURATION && observersBefore == 0) {
            long left = confirmed + limits.confirmationLimit().toNanos() - now;
            Duration wait =
                    Duration.ofNanos(Math.min(left, limits.observerWait().toNanos()));
            return new NextPoll(Duration.ZERO, longer(wait, NO_WAIT), PollReason.OBSERVER);
        }
        Duration interval = observersBefore == 0
                ? limits.firstObserverInterval()
                : limits.observerInterval(ReportInterval.of(peers.count()));
        long due = answeredCallSentAt.orElseThrow() + spread(interval);
        return poll(due, PollReason.OBSERVER, now);
    }

    private int observerCount() {
        return Math.max(MIN_OBSERVERS, (peers.count() + 1) / ENTRIES_PER_OBSERVER);
    }

    private boolean otherStateSeen(long since) {
        return applied.flatMap(own -> peers.otherLastSeen(own.state()))
                .filter(seen -> seen - since > 0)
                .isPresent();
    }

    private Optional<Long> confirmedAt() {
        Optional<Long> byPeers = applied.flatMap(own -> peers.lastSeen(own.state()));
        if (byPeers.isEmpty() || answeredCallSentAt.isEmpty()) {
            return answeredCallSentAt;
        }
        long own = answeredCallSentAt.get();
        return byPeers.get() - own > 0 ? byPeers : answeredCallSentAt;
    }

    private boolean confirmedByPeers() {
        boolean confirmedSinceLastPoll = !confirmedAt().equals(answeredCallSentAt);
        return shared() && (lastReason.expectedWhenConfirmed() || confirmedSinceLastPoll);
    }

    private long spread(Duration interval) {
        return (long) (interval.toNanos() * intervalFactor);
    }

    private static NextPoll poll(long due, PollReason reason, long now) {
        return new NextPoll(Duration.ofNanos(Math.max(0, due - now)), NO_WAIT, reason);
    }

    private static NextPoll earlier(NextPoll one, NextPoll other) {
        return other.delay().compareTo(one.delay()) < 0 ? other : one;
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }

    private record Observation(CollectionState state, long sentAt) {}
}
