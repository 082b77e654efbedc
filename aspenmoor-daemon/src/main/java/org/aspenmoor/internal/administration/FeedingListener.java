package org.aspenmoor.internal.administration;

import org.aspenmoor.internal.platform.CollectionListener;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;

/** Gives what a watch brings to the feed of documents and then to the listener behind it. */
final class FeedingListener implements CollectionListener {
    private final DocumentFeed feed;
    private final CollectionListener next;

    FeedingListener(DocumentFeed feed, CollectionListener next) {
        this.feed = feed;
        this.next = next;
    }

    @Override
    public void changed(StoredObject object) {
        feed.changed(object);
        next.changed(object);
    }

    @Override
    public void deleted(StoredObject object) {
        next.deleted(object);
    }

    @Override
    public void synchronised() {
        next.synchronised();
    }

    @Override
    public void interrupted(StoreException cause) {
        next.interrupted(cause);
    }
}
