package org.aspenmoor.internal.serving.roles;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreConflictException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.TimeSource;

/**
 * The right to give orders to engines: held by one process at a time, for a short while, under a number that grows.
 *
 * <p>Some engines do not check the number, so two processes that both believe to hold the right could give an engine
 * conflicting orders; one would notice an engine that changes to and fro. The holder therefore uses the right only
 * within a short window after it wrote the record, and whoever takes it over must have seen the record unchanged for
 * longer than that window and the engines' own pause between holders together. No clock is compared with another's.
 *
 * <p>A store that comes back from an older copy may have lost the record of a holder that still gives orders. So a record
 * that is missing settles like one that was just written, a right from an earlier generation of the store's history is
 * void, and numbers begin higher in each generation, whoever remembers the last.
 *
 * <p>Used by one thread only; its calls block.
 */
public final class OrderRight {
    /** How long after its write a holder gives orders; some take a few milliseconds each. */
    static final Duration WINDOW = Duration.ofSeconds(2);

    /**
     * How long the record must have stood unchanged before another takes it: the window, the three seconds that engines
     * need between two holders, and one for the way of the last order.
     */
    static final Duration SETTLED = Duration.ofSeconds(6);

    /** Where the time of day has run so much further than the steady clock, the process has been suspended. */
    private static final Duration SUSPENDED = Duration.ofMillis(200);

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String HOLDER = "holder";
    private static final String TERM = "term";
    private static final String MISSING = "missing in generation ";

    /** More than are given out in years, one every few seconds; still whole numbers in any JSON. */
    private static final long TERMS_OF_A_GENERATION = 1L << 32;

    private final ObjectStore store;
    private final ObjectKey key;
    private final String holder;
    private final TimeSource time;
    private String seenVersion = "";
    private long highestTerm;
    private long grantedGeneration;
    private long seenAt;
    private String ownVersion = "";
    private long grantedAt;
    private long grantedAtTimeOfDay;
    private boolean granted;

    public OrderRight(ObjectStore store, ObjectKey key, String holder, TimeSource time) {
        this.store = store;
        this.key = key;
        this.holder = holder;
        this.time = time;
    }

    /**
     * Notes who has the right, so that it is known to be settled when an order becomes due. Looked at only then, an engine
     * for answers that was lost stayed unreplaced for six seconds more, in which one engine answered everybody.
     */
    public void observe() throws StoreException {
        settled(versionOf(store.read(key)), time.monotonicNanos());
    }

    /** Tries to get the right; returns the number to give orders under. */
    public Optional<Long> acquire() throws StoreException {
        granted = false;
        long asked = time.monotonicNanos();
        long askedTimeOfDay = time.wallClockTime().toEpochMilli();
        Optional<StoredObject> record = store.read(key);
        long generation = store.generation();
        long term = nextTerm(record, generation);
        if (!settled(versionOf(record), asked)) {
            return Optional.empty();
        }
        try {
            String value = MAPPER.createObjectNode()
                    .put(HOLDER, holder)
                    .put(TERM, term)
                    .toString();
            StoredObject written = record.isPresent() ? store.update(record.get(), value) : store.create(key, value);
            ownVersion = written.version();
        } catch (StoreConflictException taken) {
            // Another process has just written; its window comes first.
            return Optional.empty();
        }
        if (store.generation() != generation) {
            return Optional.empty();
        }
        granted = true;
        highestTerm = term;
        grantedGeneration = generation;
        grantedAt = asked;
        grantedAtTimeOfDay = askedTimeOfDay;
        return Optional.of(term);
    }

    /** Returns whether an order may still be given; to be asked right before each. */
    public boolean holds() {
        long elapsed = time.monotonicNanos() - grantedAt;
        long elapsedByDay = Duration.ofMillis(time.wallClockTime().toEpochMilli() - grantedAtTimeOfDay)
                .toNanos();
        boolean suspended = Math.abs(elapsedByDay - elapsed) > SUSPENDED.toNanos();
        boolean sameGeneration = store.generation() == grantedGeneration;
        return granted && sameGeneration && elapsed < WINDOW.toNanos() && !suspended;
    }

    /** Numbers of a later generation lie above all those of earlier ones, which the store may have forgotten. */
    private long nextTerm(Optional<StoredObject> record, long generation) throws StoreMalformedException {
        long recorded = record.isPresent() ? termOf(record.get()) : 0;
        highestTerm = Math.max(Math.max(highestTerm, recorded), generation * TERMS_OF_A_GENERATION);
        return highestTerm + 1;
    }

    /** Returns a record's version; a missing one has a version too, since it has to settle like another. */
    private String versionOf(Optional<StoredObject> record) {
        return record.map(StoredObject::version).orElse(MISSING + store.generation());
    }

    private boolean settled(String version, long now) {
        if (version.equals(ownVersion)) {
            return true;
        }
        if (!version.equals(seenVersion)) {
            seenVersion = version;
            seenAt = now;
            return false;
        }
        return now - seenAt >= SETTLED.toNanos();
    }

    private static long termOf(StoredObject record) throws StoreMalformedException {
        try {
            JsonNode root = MAPPER.readTree(record.value());
            if (root.path(TERM).isIntegralNumber()) {
                return root.path(TERM).asLong();
            }
        } catch (JsonProcessingException malformed) {
            // Reported below, like a record without a number.
        }
        throw new StoreMalformedException(
                "The record of who may give orders has no number.",
                record.key().toString(),
                "Delete the object; the next process that needs it writes it anew.");
    }
}
