package org.aspenmoor.internal.serving.freshness;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.dissemination.StableHash;
import org.aspenmoor.internal.serving.ReportInterval;

/** The latest observation of one collection from each of the other entries. Confined to one thread. */
final class PeerObservations {
    private final String entry;
    private final ObservedCollection collection;
    private final long ownScore;
    private final Map<String, RankedPeer> peers = new HashMap<>();

    PeerObservations(String entry, ObservedCollection collection) {
        this.entry = entry;
        this.collection = collection;
        this.ownScore = score(entry);
    }

    /** Records an observation; returns false if a newer report of the same sender has been received. */
    boolean receive(String sender, PeerObservation observation) {
        RankedPeer known = peers.get(sender);
        if (known != null && !known.latest().supersededBy(observation)) {
            return false;
        }
        long score = known == null ? score(sender) : known.score();
        peers.put(sender, new RankedPeer(score, observation));
        return true;
    }

    void remove(String sender) {
        peers.remove(sender);
    }

    /** Removes the entries that are no longer heard. */
    void expire(long now) {
        long retention = ReportInterval.retention(peers.size()).toNanos();
        peers.values().removeIf(peer -> now - peer.latest().receivedAt() > retention);
    }

    int count() {
        return peers.size();
    }

    /**
     * Returns how many entries that rank before this one reported a call that was at most this old. Every entry ranks
     * all entries in the same order, by rendezvous hash.
     */
    int youngBeforeSelf(Duration maxAge) {
        int young = 0;
        for (Map.Entry<String, RankedPeer> peer : peers.entrySet()) {
            boolean before = precedesSelf(peer.getKey(), peer.getValue().score());
            if (before && peer.getValue().latest().ageAtReport().compareTo(maxAge) <= 0) {
                young++;
            }
        }
        return young;
    }

    /** Returns when the state was last seen by another entry. */
    Optional<Long> lastSeen(CollectionState state) {
        return peers.values().stream()
                .map(RankedPeer::latest)
                .filter(latest -> latest.state().equals(state))
                .map(PeerObservation::observedAt)
                .max(PeerObservations::compareTimes);
    }

    /** Returns when another state was last seen by another entry; a state of an earlier generation is outdated. */
    Optional<Long> otherLastSeen(CollectionState state) {
        return peers.values().stream()
                .map(RankedPeer::latest)
                .filter(latest ->
                        !latest.state().equals(state) && latest.state().generation() >= state.generation())
                .map(PeerObservation::observedAt)
                .max(PeerObservations::compareTimes);
    }

    private boolean precedesSelf(String peer, long score) {
        return score > ownScore || (score == ownScore && peer.compareTo(entry) < 0);
    }

    private long score(String name) {
        return StableHash.of(collection.name(), name);
    }

    private static int compareTimes(long one, long other) {
        return Long.signum(one - other);
    }

    private record RankedPeer(long score, PeerObservation latest) {}
}
