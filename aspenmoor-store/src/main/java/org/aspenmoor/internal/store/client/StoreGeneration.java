package org.aspenmoor.internal.store.client;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Tracks the generation of the store's history from the responses of the store. Thread-safe.
 *
 * <p>A store that is restored from an older snapshot has lost the writes that it acknowledged since, and assigns the
 * same revisions again; its generation then increases. A revision that was read in an earlier generation must not be
 * the condition of a write: another object may have that revision now, and the write would succeed where it must fail.
 */
public final class StoreGeneration {
    private final String header;
    private final Listener listener;
    private long highest;
    private boolean seen;
    private boolean unreadableReported;

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
    synchronized long observe(Optional<String> headerValue) {
        if (header.isEmpty()) {
            return 0;
        }
        OptionalLong parsed = parse(headerValue);
        if (parsed.isEmpty()) {
            reportUnreadable(headerValue);
            return highest;
        }
        long received = parsed.getAsLong();
        if (seen && received < highest) {
            listener.generationDecreased(highest, received);
            return highest;
        }
        boolean increased = seen && received > highest;
        long before = highest;
        highest = received;
        seen = true;
        if (increased) {
            listener.generationIncreased(before, received);
        }
        return received;
    }

    private void reportUnreadable(Optional<String> headerValue) {
        if (!unreadableReported) {
            unreadableReported = true;
            listener.generationUnreadable(headerValue.orElse(""));
        }
    }

    private static OptionalLong parse(Optional<String> headerValue) {
        try {
            long number = Long.parseLong(headerValue.orElse("").strip());
            return number < 0 ? OptionalLong.empty() : OptionalLong.of(number);
        } catch (NumberFormatException notANumber) {
            return OptionalLong.empty();
        }
    }

    /** Is notified of changes of the generation, on the thread of the call. */
    public interface Listener {
        /** The store was restored from an older snapshot. */
        default void generationIncreased(long before, long now) {}

        /** A response contained a lower generation than an earlier response; it is ignored. */
        default void generationDecreased(long before, long received) {}

        /** A response contained no valid generation; reported once. */
        default void generationUnreadable(String headerValue) {}
    }
}
