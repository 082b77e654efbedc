package org.aspenmoor.internal.store.client;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Which generation of its history the store is in, as far as its answers have told. Used by many threads.
 *
 * <p>A store that comes back from an older copy has lost what it acknowledged since, and gives the same revisions out again.
 * Then its generation rises. Nothing that was read in an earlier one may be the condition of a write: another object may
 * have that revision now, and the write would succeed where it must not.
 */
public final class StoreGeneration {
    private final String header;
    private final Listener listener;
    private long highest;
    private boolean known;
    private boolean complained;

    /**
     * Makes a generation that nothing is known of.
     *
     * @param header the header that names it in all answers
     * @param listener hears what answers tell
     */
    public StoreGeneration(String header, Listener listener) {
        this.header = header;
        this.listener = listener;
    }

    /** Returns the generation of a store that never comes back from an older copy and names none. */
    public static StoreGeneration none() {
        return new StoreGeneration("", new Listener() {});
    }

    /** Returns the highest generation that an answer has named; zero where none has. */
    public synchronized long current() {
        return highest;
    }

    String header() {
        return header;
    }

    /** Takes in what an answer says, and returns the generation that it belongs to. */
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

    /** Hears what answers tell of the generation, on the thread of the call. */
    public interface Listener {
        /** The store has come back from an older copy. */
        default void rose(long before, long now) {}

        /** An answer named a lower generation than one before; it is not believed. */
        default void fell(long before, long told) {}

        /** An answer named none that can be read; told once. */
        default void unreadable(String written) {}
    }
}
