package org.aspenmoor.internal.duty;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreConflictException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.TimeSource;

/**
 * The lease under which one process at a time performs a duty, for a short time and with an increasing fencing number.
 * Its record may contain what the holder has decided, which is then decided by the same conditional write.
 *
 * <p>Some receivers do not check the fencing number, so two processes that both assume they hold the lease could give
 * an engine conflicting orders, or report two different counts. The holder therefore uses the lease only within a short
 * window after it wrote the record. Another process may acquire it only after it has seen the record unchanged for
 * longer than this window plus the pause that receivers require between holders. No clock is compared with the clock of
 * another process.
 *
 * <p>A store that was restored from an older copy may have lost the record of a holder that still acts. A
 * missing record therefore has to stay unchanged for as long as one that was just written, a lease from an earlier
 * generation of the store's history is void, and fencing numbers start higher in each generation, regardless of
 * which process remembers the last one.
 *
 * <p>Used by one thread only; its calls block.
 */
public final class DutyLease {
    /** How long after its write a holder may act; a call takes a few milliseconds. */
    public static final Duration VALIDITY = Duration.ofSeconds(2);

    /** How long a call of a holder may be in transit after the lease has expired. */
    private static final Duration MAX_TRANSIT = Duration.ofSeconds(1);

    /**
     * Difference between the elapsed times of the wall clock and the monotonic clock above which the process is
     * assumed to have been suspended.
     */
    private static final Duration SUSPENSION_THRESHOLD = Duration.ofMillis(200);

    private static final String REMEDY = "Delete the object; the next process that needs the lease creates it again.";
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String HOLDER_FIELD = "holder";
    private static final String FENCING_NUMBER_FIELD = "term";
    private static final String CONTENT_FIELD = "content";
    private static final String MISSING_VERSION_PREFIX = "missing in generation ";

    /** More than are issued in years at one every few seconds; the numbers remain exact integers in any JSON parser. */
    private static final long FENCING_NUMBERS_PER_GENERATION = 1L << 32;

    private final ObjectStore store;
    private final ObjectKey key;
    private final String holder;
    private final Duration takeoverDelay;
    private final TimeSource time;
    private String seenVersion = "";
    private long highestFencingNumber;
    private long grantedGeneration;
    private long seenAtNanos;
    private String ownVersion = "";
    private long grantedAtNanos;
    private long grantedAtTimeOfDayMillis;
    private boolean granted;

    /**
     * Creates a lease that is not held.
     *
     * @param key the record, one for each duty
     * @param holder the name of this process
     * @param pauseBetweenHolders the time that receivers require between the calls of two holders
     */
    public DutyLease(ObjectStore store, ObjectKey key, String holder, Duration pauseBetweenHolders, TimeSource time) {
        this.store = store;
        this.key = key;
        this.holder = holder;
        this.takeoverDelay = VALIDITY.plus(pauseBetweenHolders).plus(MAX_TRANSIT);
        this.time = time;
    }

    /** Returns how long the record must be unchanged before another process may acquire the lease. */
    public Duration takeoverDelay() {
        return takeoverDelay;
    }

    /**
     * Reads the record so that the time since its last change is known when the lease is needed. If it were read only
     * then, the duty of a terminated holder would be left undone for the takeover delay.
     */
    public void observe() throws StoreException {
        Optional<StoredObject> record = store.read(key);
        long now = time.monotonicNanos();
        mayAcquire(versionOf(record), now, now);
    }

    /**
     * Tries to acquire or renew the lease. Returns the fencing number to act under; empty if another process holds the
     * lease, or may still hold it.
     */
    public Optional<Long> acquire() throws StoreException {
        return acquire(UnaryOperator.identity());
    }

    /**
     * Tries to acquire or renew the lease, and replaces the content of its record by the same write. Returns the
     * fencing number to act under; empty if another process holds the lease, or may still hold it.
     *
     * @param nextContent returns the new content, given the present one, which is empty if there is none
     */
    public Optional<Long> acquire(UnaryOperator<String> nextContent) throws StoreException {
        granted = false;
        long requestedAtNanos = time.monotonicNanos();
        long requestedAtTimeOfDayMillis = time.wallClockTime().toEpochMilli();
        Optional<StoredObject> record = store.read(key);
        long generation = store.generation();
        long fencingNumber = nextFencingNumber(record, generation);
        if (!mayAcquire(versionOf(record), requestedAtNanos, time.monotonicNanos())) {
            return Optional.empty();
        }
        String content = nextContent.apply(record.isPresent() ? contentOf(record.get()) : "");
        try {
            String value = serialise(fencingNumber, content);
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

    /** Returns whether the holder may still act; has to be checked immediately before each call. */
    public boolean isHeld() {
        return !remaining().isZero();
    }

    /** Returns for how long the holder may still act; zero if the lease is not held. */
    public Duration remaining() {
        long elapsedNanos = time.monotonicNanos() - grantedAtNanos;
        long elapsedTimeOfDayNanos = Duration.ofMillis(time.wallClockTime().toEpochMilli() - grantedAtTimeOfDayMillis)
                .toNanos();
        boolean suspended = Math.abs(elapsedTimeOfDayNanos - elapsedNanos) > SUSPENSION_THRESHOLD.toNanos();
        boolean sameGeneration = store.generation() == grantedGeneration;
        if (!granted || !sameGeneration || suspended || elapsedNanos >= VALIDITY.toNanos()) {
            return Duration.ZERO;
        }
        return VALIDITY.minusNanos(elapsedNanos);
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

    /**
     * Returns whether the lease may be acquired; remembers when the record was first seen with this version. The store
     * may have handled a read at any time between its request and its answer.
     */
    private boolean mayAcquire(String version, long requestedAtNanos, long answeredAtNanos) {
        if (version.equals(ownVersion)) {
            return true;
        }
        if (!version.equals(seenVersion)) {
            seenVersion = version;
            seenAtNanos = answeredAtNanos;
            return false;
        }
        return requestedAtNanos - seenAtNanos >= takeoverDelay.toNanos();
    }

    private String serialise(long fencingNumber, String content) {
        ObjectNode root = MAPPER.createObjectNode().put(HOLDER_FIELD, holder).put(FENCING_NUMBER_FIELD, fencingNumber);
        if (!content.isEmpty()) {
            root.put(CONTENT_FIELD, content);
        }
        return root.toString();
    }

    private static long fencingNumberOf(StoredObject record) throws StoreMalformedException {
        JsonNode number = parse(record).path(FENCING_NUMBER_FIELD);
        if (!number.isIntegralNumber()) {
            throw new StoreMalformedException(
                    "The lease record has no fencing number.", record.key().toString(), REMEDY);
        }
        return number.asLong();
    }

    private static String contentOf(StoredObject record) throws StoreMalformedException {
        return parse(record).path(CONTENT_FIELD).asText("");
    }

    private static JsonNode parse(StoredObject record) throws StoreMalformedException {
        try {
            return MAPPER.readTree(record.value());
        } catch (JsonProcessingException malformed) {
            throw new StoreMalformedException(
                    "The lease record is not valid JSON: " + malformed.getOriginalMessage(),
                    record.key().toString(),
                    REMEDY,
                    malformed);
        }
    }
}
