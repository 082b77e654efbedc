package org.aspenmoor.internal.store;

/** An open watch. */
public interface StoreWatch extends AutoCloseable {
    /** Ends the watch; no further events are delivered to the listener. */
    @Override
    void close();
}
