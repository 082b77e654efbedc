package org.aspenmoor.internal.gateway.membership;

import java.util.concurrent.Executor;
import org.aspenmoor.internal.serving.freshness.CollectionDigest;
import org.aspenmoor.internal.serving.freshness.CollectionFreshness;
import org.aspenmoor.internal.serving.freshness.CollectionState;

/**
 * Keeps the digest of what an entry has read of one collection, and passes it on with each call that confirms it.
 * Confined to the thread of the collection.
 */
public final class CollectionObserver {
    private final CollectionFreshness freshness;
    private final Executor eventLoop;
    private final Runnable reportNow;
    private final CollectionDigest digest = new CollectionDigest();

    /**
     * Creates an observer.
     *
     * @param reportNow sends a report to the other entries at once; called on the event loop
     */
    public CollectionObserver(CollectionFreshness freshness, Executor eventLoop, Runnable reportNow) {
        this.freshness = freshness;
        this.eventLoop = eventLoop;
        this.reportNow = reportNow;
    }

    /** Adds or replaces an object, given the hash of the part of it that entries use. */
    void changed(String id, long contentHash) {
        digest.put(id, contentHash);
    }

    /** Removes an object. */
    void removed(String id) {
        digest.remove(id);
    }

    /** Records that a call returned all changes until it was answered. */
    void confirmed(long generation, long sentAt) {
        CollectionState state = new CollectionState(generation, digest.value());
        // Runs after the changes themselves, which have been passed to the event loop before.
        eventLoop.execute(() -> {
            if (freshness.applied(state, sentAt)) {
                reportNow.run();
            }
        });
    }
}
