package org.aspenmoor.internal.dissemination;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Which documents a relay knows in a newer revision than its own watch has shown it.
 *
 * <p>A watch served by an old replica of the store looks alive and says nothing new, so the relay would vouch for a table
 * that is behind. What its neighbours know and its watch never showed gives the replica away.
 */
final class WatchCoverage {
    private final Set<DocumentKey> unseen = new HashSet<>();
    private boolean watching;

    /** A watch is about to begin; nothing that is known has been seen in it yet. */
    void start(Collection<DocumentKey> known) {
        watching = true;
        unseen.clear();
        unseen.addAll(known);
    }

    /** This process watches the store no longer. */
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

    /** Says whether the watch has shown everything that is known. */
    boolean isComplete() {
        return watching && unseen.isEmpty();
    }
}
