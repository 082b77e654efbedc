package org.aspenmoor.internal.store;

/** A running watch. */
public interface StoreWatch extends AutoCloseable {
    /** Ends the watch; the listener hears nothing more. */
    @Override
    void close();
}
