package org.aspenmoor.internal.dissemination;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Tracks which documents a relay knows in a newer revision than its own watch has delivered.
 *
 * <p>A watch served by a lagging replica of the store appears healthy but delivers no new revisions, so the relay would
 * confirm an outdated table as current. Revisions received from neighbours but not from the watch reveal such a replica.
 */
final class WatchCoverage {
    private final Set<DocumentKey> unseen = new HashSet<>();
    private boolean watching;

    /** Starts tracking a new watch, which has not delivered any of the known documents yet. */
    void start(Collection<DocumentKey> known) {
        watching = true;
        unseen.clear();
        unseen.addAll(known);
    }

    /** Stops tracking because this process no longer watches the store. */
    void stop() {
        watching = false;
        unseen.clear();
    }

    void receivedFromPeer(DocumentKey key) {
        if (watching) {
            unseen.add(key);
        }
    }

    void receivedFromStore(DocumentKey key, boolean newestKnown) {
        if (newestKnown) {
            unseen.remove(key);
        }
    }

    /** Returns whether the watch has delivered the newest known revision of every document. */
    boolean isComplete() {
        return watching && unseen.isEmpty();
    }
}
