package org.aspenmoor.internal.serving.entries;

import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The entries among which bounds are divided that hold for all of them together. Confined to one thread; times are
 * nanoseconds of the monotonic clock.
 *
 * <p>An entry counts while its registration is renewed or its reports are heard. One that is not heard counts as much as
 * one that is: it may serve callers behind a link that is cut, or lose reports for lack of processor time, and entries
 * that divided a bound by the number of those they hear would exceed it together.
 */
public final class KnownEntries {
    /** Interval after which an entry renews its registration. */
    public static final Duration RENEWAL_INTERVAL = Duration.ofMinutes(1);

    /** Interval between two listings of the registrations; within it, each entry learns of a new one. */
    public static final Duration LISTING_INTERVAL = Duration.ofSeconds(10);

    /**
     * The others count an entry for at least this long after it has renewed its registration. If it could not renew it
     * for so long, it uses no part of its own.
     */
    public static final Duration LEASE = Duration.ofMinutes(2);

    /** Longer than the lease, by more than a loan lasts and clocks jump. */
    private static final Duration EXPIRY = Duration.ofMinutes(3);

    /** Time for a listing to be read and applied. */
    private static final Duration LISTING_DELAY = Duration.ofSeconds(2);

    private final String own;
    private final Map<String, Sighting> others = new HashMap<>();
    private Optional<EntryListing> listing = Optional.empty();
    private long firstListedAt;
    private long revision;

    /**
     * Creates an instance that knows no other entry.
     *
     * @param own the name of this entry
     */
    public KnownEntries(String own) {
        this.own = own;
    }

    /** Applies the registrations read from the store. */
    public void listed(EntryListing newest, long now) {
        if (listing.isEmpty()) {
            firstListedAt = now;
        }
        listing = Optional.of(newest);
        newest.versions().forEach((entry, version) -> registered(entry, version, now));
        // Only a listing shows that a registration was not renewed, so entries expire here alone.
        if (others.values().removeIf(sighting -> now - sighting.seenAt() > EXPIRY.toNanos())) {
            revision++;
        }
    }

    private void registered(String entry, String version, long now) {
        Sighting known = others.get(entry);
        if (known == null || !known.version().equals(version)) {
            seen(entry, new Sighting(version, now));
        }
    }

    /** Records a report of another entry. */
    public void heard(String entry, long now) {
        Sighting known = others.get(entry);
        seen(entry, new Sighting(known == null ? "" : known.version(), now));
    }

    private void seen(String entry, Sighting sighting) {
        if (entry.equals(own)) {
            return;
        }
        if (others.put(entry, sighting) == null) {
            revision++;
        }
    }

    /** Returns the name of this entry. */
    public String own() {
        return own;
    }

    /** Returns the names of the other entries that count. */
    public Set<String> others() {
        return Collections.unmodifiableSet(others.keySet());
    }

    /** Returns the names of the other entries that count; empty until the registrations have been read. */
    public Optional<Set<String>> othersIfListed() {
        return listing.map(known -> others());
    }

    /** Returns how many entries count, this one included. */
    public int count() {
        return others.size() + 1;
    }

    /** Returns a number that changes whenever an entry is added or removed. */
    public long revision() {
        return revision;
    }

    /**
     * Returns whether this entry may use the part of a bound that is its own: all others count it, and no part that it
     * has lent before it was started again is still used.
     *
     * @param lending for how long a part may still be used by an entry to which its owner has lent it
     */
    public boolean mayUseOwnPart(Duration lending, long now) {
        return listing.filter(known -> now - known.renewedAt() < LEASE.toNanos())
                .filter(known -> now - firstListedAt > lending.toNanos())
                .filter(known -> countedByOthers(known, lending, now))
                .isPresent();
    }

    /** Returns whether the registrations have been read, and all that are registered know each other. */
    public boolean complete(long now) {
        return listing.filter(known -> countedByOthers(known, Duration.ZERO, now))
                .isPresent();
    }

    private static boolean countedByOthers(EntryListing known, Duration lending, long now) {
        long settling = LISTING_INTERVAL.plus(LISTING_DELAY).plus(lending).toNanos();
        return known.joinedAt().map(joined -> now - joined > settling).orElse(true);
    }

    private record Sighting(String version, long seenAt) {}
}
