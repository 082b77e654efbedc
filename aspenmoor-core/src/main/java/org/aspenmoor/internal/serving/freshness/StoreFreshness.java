package org.aspenmoor.internal.serving.freshness;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.serving.PeerReport;

/**
 * How up to date an entry's knowledge of the collections is that all entries follow in the store. Reports are passed in
 * by the event loop; {@code now} is the monotonic clock in nanoseconds.
 */
public final class StoreFreshness {
    /** The age in a report is rounded down to whole milliseconds. */
    private static final Duration ROUNDING = Duration.ofMillis(1);

    private final Map<ObservedCollection, CollectionFreshness> collections;
    private final ListReliability serverList;
    private Optional<Long> nextRoundDue = Optional.empty();
    private long lastRoundLateness;

    /** Creates the state for both collections. */
    public StoreFreshness(CollectionFreshness configuration, CollectionFreshness servers) {
        this.collections = Map.of(ObservedCollection.CONFIGURATION, configuration, ObservedCollection.SERVERS, servers);
        this.serverList = new ListReliability(servers.bound());
    }

    /** Returns the freshness of one collection. */
    public CollectionFreshness of(ObservedCollection collection) {
        return collections.get(collection);
    }

    /** Returns how up to date each collection is. */
    public List<FreshnessStatus> statuses(long now) {
        List<FreshnessStatus> statuses = new ArrayList<>();
        for (ObservedCollection collection : ObservedCollection.values()) {
            statuses.add(of(collection).status(now));
        }
        return statuses;
    }

    /** Returns what this entry has read from the store, to be reported to the other entries. */
    public List<CollectionObservation> observations(long now) {
        List<CollectionObservation> observations = new ArrayList<>();
        for (ObservedCollection collection : ObservedCollection.values()) {
            of(collection).observation(now).ifPresent(observations::add);
        }
        return observations;
    }

    /**
     * Records a periodic run of the event loop, which shows how long received reports may have waited for it.
     *
     * @param interval time until the next run
     */
    public void eventLoopRan(Duration interval, long now) {
        lastRoundLateness = lateness(now);
        nextRoundDue = Optional.of(now + interval.toNanos());
        serverList.eventLoopRan(Duration.ofNanos(lastRoundLateness), now);
    }

    /** Records that the list of servers cannot be confirmed at present. */
    public void serverListInterrupted(long now) {
        serverList.eventLoopRan(Duration.ofNanos(longestDelay(now)), now);
        serverList.interrupted(now);
    }

    /** Records that the whole list of servers has been read, and when it was requested. */
    public void serversListed(long requestedAt) {
        serverList.listed(requestedAt);
    }

    /**
     * Returns whether the list of servers is young enough to send a request by it now, so that it reaches no server that
     * has left longer ago than the settings allow.
     */
    public boolean serverListReliable(long now) {
        Optional<Long> polledAt = of(ObservedCollection.SERVERS).appliedConfirmedAt();
        return serverList.reliable(polledAt, Duration.ofNanos(longestDelay(now)), now);
    }

    /** Applies the report of another entry. */
    public void peerReported(PeerReport report, long now) {
        if (report.stopping()) {
            collections.values().forEach(collection -> collection.peerStopped(report.entry()));
            return;
        }
        long reportedAt = now - longestDelay(now) - ROUNDING.toNanos();
        for (CollectionObservation observation : report.measurements().observations()) {
            PeerObservation received = new PeerObservation(
                    report.incarnation(),
                    report.sequence(),
                    new CollectionState(observation.generation(), observation.digest()),
                    observation.age(),
                    reportedAt - observation.age().toNanos(),
                    now);
            CollectionFreshness collection = of(observation.collection());
            if (collection.peerObserved(report.entry(), received)) {
                collection.notifyEarlierPoll();
            }
        }
    }

    /**
     * Returns how long a report that is read now may have waited in this host's receive buffer. After a pause of the
     * process, reports from before it would otherwise count as recent.
     */
    private long longestDelay(long now) {
        return Math.max(lateness(now), lastRoundLateness);
    }

    private long lateness(long now) {
        return nextRoundDue.map(due -> Math.max(0, now - due)).orElse(0L);
    }
}
