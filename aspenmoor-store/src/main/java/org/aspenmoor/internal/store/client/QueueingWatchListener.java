package org.aspenmoor.internal.store.client;

import java.util.concurrent.BlockingQueue;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreWatchListener;
import org.aspenmoor.internal.store.StoredObject;

/** Passes the events of a watch to the thread of a collection; blocks the watch while the queue is full. */
final class QueueingWatchListener implements StoreWatchListener {
    private final BlockingQueue<CollectionEvent> events;

    QueueingWatchListener(BlockingQueue<CollectionEvent> events) {
        this.events = events;
    }

    @Override
    public void changed(StoredObject object) {
        put(new CollectionEvent.Changed(object));
    }

    @Override
    public void deleted(StoredObject object) {
        put(new CollectionEvent.Deleted(object));
    }

    @Override
    public void confirmed(long generation, long sentAt) {
        put(new CollectionEvent.Confirmed(generation, sentAt));
    }

    @Override
    public void ended(StoreException cause) {
        put(new CollectionEvent.Ended(cause));
    }

    private void put(CollectionEvent event) {
        try {
            events.put(event);
        } catch (InterruptedException watchClosed) {
            Thread.currentThread().interrupt();
        }
    }
}
