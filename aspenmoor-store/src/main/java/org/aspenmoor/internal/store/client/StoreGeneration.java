package org.aspenmoor.internal.store.client;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Tracks the generation of the store's history from the responses of the store. Thread-safe.
 *
 * <p>A store that is restored from an older snapshot has lost the writes that it acknowledged since, and assigns the same
 * revisions again; its generation then increases. A revision that was read in an earlier generation must not be the
 * condition of a write: another object may have that revision now, and the write would succeed where it must fail.
 */
public final class StoreGeneration {
    private final String header;
    private final Listener listener;
    private long highest;
    private boolean known;
    private boolean complained;

    /**
     * Creates a tracker that has not seen any generation.
     *
     * @param header the response header that contains the generation
     * @param listener is notified of changes
     */
    public StoreGeneration(String header, Listener listener) {
        this.header = header;
        this.listener = listener;
    }

    /** Returns a tracker for a store that is never restored and sends no generation. */
    public static StoreGeneration none() {
        return new StoreGeneration("", new Listener() {});
    }

    /** Returns the highest generation seen in a response; zero if none has been seen. */
    public synchronized long current() {
        return highest;
    }

    String header() {
        return header;
    }

    /** Processes the header value of a response and returns the generation that the response belongs to. */
    synchronized long observe(Optional<String> written) {
        if (header.isEmpty()) {
            return 0;
        }
        OptionalLong read = read(written);
        if (read.isEmpty()) {
            complain(written);
            return highest;
        }
        long told = read.getAsLong();
        if (known && told < highest) {
            listener.fell(highest, told);
            return highest;
        }
        boolean rose = known && told > highest;
        long before = highest;
        highest = told;
        known = true;
        if (rose) {
            listener.rose(before, told);
        }
        return told;
    }

    private void complain(Optional<String> written) {
        if (!complained) {
            complained = true;
            listener.unreadable(written.orElse(""));
        }
    }

    private static OptionalLong read(Optional<String> written) {
        try {
            long number = Long.parseLong(written.orElse("").strip());
            return number < 0 ? OptionalLong.empty() : OptionalLong.of(number);
        } catch (NumberFormatException noNumber) {
            return OptionalLong.empty();
        }
    }

    /** Is notified of changes of the generation, on the thread of the call. */
    public interface Listener {
        /** The store was restored from an older snapshot. */
        default void rose(long before, long now) {}

        /** A response contained a lower generation than an earlier response; it is ignored. */
        default void fell(long before, long told) {}

        /** A response contained no valid generation; reported once. */
        default void unreadable(String written) {}
    }
}
