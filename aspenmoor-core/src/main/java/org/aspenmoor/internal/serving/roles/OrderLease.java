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
 * The lease under which one process at a time may give orders to engines, for a short time and with an increasing
 * fencing number.
 *
 * <p>Some engines do not check the fencing number, so two processes that both assume they hold the lease could give
 * an engine conflicting orders, and its role would change back and forth. The holder therefore uses the lease only
 * within a short window after it wrote the record. Another process may acquire it only after it has seen the record
 * unchanged for longer than this window plus the pause that engines require between holders. No clock is compared
 * with the clock of another process.
 *
 * <p>A store that was restored from an older copy may have lost the record of a holder that still gives orders. A
 * missing record therefore has to stay unchanged for as long as one that was just written, a lease from an earlier
 * generation of the store's history is void, and fencing numbers start higher in each generation, regardless of
 * which process remembers the last one.
 *
 * <p>Used by one thread only; its calls block.
 */
public final class OrderLease {
    /** How long after its write a holder may give orders; an order takes a few milliseconds. */
    static final Duration VALIDITY = Duration.ofSeconds(2);

    /**
     * How long the record must be unchanged before another process may acquire the lease: {@link #VALIDITY}, the three
     * seconds that engines require between two holders, and one second for the delivery of the last order.
     */
    static final Duration TAKEOVER_DELAY = Duration.ofSeconds(6);

    /**
     * Difference between the elapsed times of the wall clock and the monotonic clock above which the process is
     * assumed to have been suspended.
     */
    private static final Duration SUSPENSION_THRESHOLD = Duration.ofMillis(200);

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String HOLDER_FIELD = "holder";
    private static final String FENCING_NUMBER_FIELD = "term";
    private static final String MISSING_VERSION_PREFIX = "missing in generation ";

    /** More than are issued in years at one every few seconds; the numbers remain exact integers in any JSON parser. */
    private static final long FENCING_NUMBERS_PER_GENERATION = 1L << 32;

    private final ObjectStore store;
    private final ObjectKey key;
    private final String holder;
    private final TimeSource time;
    private String seenVersion = "";
    private long highestFencingNumber;
    private long grantedGeneration;
    private long seenAtNanos;
    private String ownVersion = "";
    private long grantedAtNanos;
    private long grantedAtTimeOfDayMillis;
    private boolean granted;

    public OrderLease(ObjectStore store, ObjectKey key, String holder, TimeSource time) {
        this.store = store;
        this.key = key;
        this.holder = holder;
        this.time = time;
    }

    /**
     * Reads the record so that the time since its last change is known when an order becomes due. If it were read
     * only then, the replacement of a lost decode engine would be delayed by six more seconds, during which one
     * engine would decode all answers.
     */
    public void observe() throws StoreException {
        mayAcquire(versionOf(store.read(key)), time.monotonicNanos());
    }

    /**
     * Tries to acquire or renew the lease. Returns the fencing number for orders; empty if another process holds the
     * lease, or may still hold it.
     */
    public Optional<Long> acquire() throws StoreException {
        granted = false;
        long requestedAtNanos = time.monotonicNanos();
        long requestedAtTimeOfDayMillis = time.wallClockTime().toEpochMilli();
        Optional<StoredObject> record = store.read(key);
        long generation = store.generation();
        long fencingNumber = nextFencingNumber(record, generation);
        if (!mayAcquire(versionOf(record), requestedAtNanos)) {
            return Optional.empty();
        }
        try {
            String value = MAPPER.createObjectNode()
                    .put(HOLDER_FIELD, holder)
                    .put(FENCING_NUMBER_FIELD, fencingNumber)
                    .toString();
            StoredObject written = record.isPresent() ? store.update(record.get(), value) : store.create(key, value);
            ownVersion = written.version();
        } catch (StoreConflictException conflict) {
            // Another process has just written the record and holds the lease.
            return Optional.empty();
        }
        if (store.generation() != generation) {
            return Optional.empty();
        }
        granted = true;
        highestFencingNumber = fencingNumber;
        grantedGeneration = generation;
        grantedAtNanos = requestedAtNanos;
        grantedAtTimeOfDayMillis = requestedAtTimeOfDayMillis;
        return Optional.of(fencingNumber);
    }

    /** Returns whether an order may still be given; has to be checked immediately before each order. */
    public boolean isHeld() {
        long elapsedNanos = time.monotonicNanos() - grantedAtNanos;
        long elapsedTimeOfDayNanos = Duration.ofMillis(time.wallClockTime().toEpochMilli() - grantedAtTimeOfDayMillis)
                .toNanos();
        boolean suspended = Math.abs(elapsedTimeOfDayNanos - elapsedNanos) > SUSPENSION_THRESHOLD.toNanos();
        boolean sameGeneration = store.generation() == grantedGeneration;
        return granted && sameGeneration && elapsedNanos < VALIDITY.toNanos() && !suspended;
    }

    /** Fencing numbers of a later generation exceed all those of earlier ones, which the store may have lost. */
    private long nextFencingNumber(Optional<StoredObject> record, long generation) throws StoreMalformedException {
        long recorded = record.isPresent() ? fencingNumberOf(record.get()) : 0;
        highestFencingNumber =
                Math.max(Math.max(highestFencingNumber, recorded), generation * FENCING_NUMBERS_PER_GENERATION);
        return highestFencingNumber + 1;
    }

    /**
     * Returns a record's version. A missing record has a version too, since it has to stay unchanged like any
     * other.
     */
    private String versionOf(Optional<StoredObject> record) {
        return record.map(StoredObject::version).orElse(MISSING_VERSION_PREFIX + store.generation());
    }

    /** Returns whether the lease may be acquired; remembers when the record was first seen with this version. */
    private boolean mayAcquire(String version, long nowNanos) {
        if (version.equals(ownVersion)) {
            return true;
        }
        if (!version.equals(seenVersion)) {
            seenVersion = version;
            seenAtNanos = nowNanos;
            return false;
        }
        return nowNanos - seenAtNanos >= TAKEOVER_DELAY.toNanos();
    }

    private static long fencingNumberOf(StoredObject record) throws StoreMalformedException {
        try {
            JsonNode root = MAPPER.readTree(record.value());
            if (root.path(FENCING_NUMBER_FIELD).isIntegralNumber()) {
                return root.path(FENCING_NUMBER_FIELD).asLong();
            }
        } catch (JsonProcessingException malformed) {
            // Reported below, like a record without a fencing number.
        }
        throw new StoreMalformedException(
                "The order lease record has no fencing number.",
                record.key().toString(),
                "Delete the object; the next process that needs the lease creates it again.");
    }
}
