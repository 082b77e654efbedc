package org.aspenmoor.internal.gateway.peers;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.log.DependencyLog;
import org.aspenmoor.internal.serving.entries.EntryListing;
import org.aspenmoor.internal.serving.entries.KnownEntries;
import org.aspenmoor.internal.serving.origin.OriginListing;
import org.aspenmoor.internal.serving.origin.OriginStatement;
import org.aspenmoor.internal.serving.origin.StreamOrigin;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Registers this entry in the store, renews the registration, and reads those of the other entries. Runs on its own
 * thread.
 *
 * <p>A registration states the address at which an entry receives reports, and that the entry counts where bounds are
 * divided among all entries. The store may lose a registration together with its latest writes; the next listing shows
 * that it is missing.
 */
public final class PeerDirectory {
    /**
     * Delay after a failed call. Entries that do not know each other schedule less well, which does not justify
     * more load on the store.
     */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(2);

    /** All entries see a new software version at the same moment, and the store limits the rate of writes. */
    private static final Duration MAX_STATEMENT_DELAY_PER_ENTRY = Duration.ofMillis(5);

    private final ObjectStore store;
    private final ObjectKey key;
    private final InetSocketAddress address;
    private final OriginStatements statements;
    private final TimeSource time;
    private final RandomGenerator random;
    private final PeerDirectoryListener listener;
    private final DependencyLog dependency;
    private Optional<StoredObject> ownObject = Optional.empty();
    private int registeredEntries;
    private long nextListingAt;
    private Optional<Long> renewedAt = Optional.empty();
    private Optional<Long> joinedAt = Optional.empty();

    public PeerDirectory(
            ObjectStore store,
            String entry,
            InetSocketAddress address,
            OriginStatements statements,
            TimeSource time,
            RandomGenerator random,
            PeerDirectoryListener listener,
            DecisionLog log) {
        this.store = store;
        this.key = new ObjectKey(ObjectKind.ENTRY_REGISTRATION, ObjectKey.PLATFORM_NAMESPACE, entry);
        this.address = address;
        this.statements = statements;
        this.time = time;
        this.random = random;
        this.listener = listener;
        this.dependency = new DependencyLog(log, "entries");
    }

    /** Starts the worker thread. */
    public void start() {
        Thread.ofPlatform().daemon().name("peer-directory").start(this::run);
    }

    private void run() {
        try {
            Duration delay = refresh();
            while (true) {
                boolean statementChanged = statements.await(delay) && !statements.takeListingRequest();
                delay = statementChanged ? writeStatementAfterRandomDelay() : refresh();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private Duration writeStatementAfterRandomDelay() throws InterruptedException {
        long maxDelay =
                MAX_STATEMENT_DELAY_PER_ENTRY.multipliedBy(registeredEntries).toNanos();
        TimeUnit.NANOSECONDS.sleep((long) (random.nextDouble() * maxDelay));
        return writeStatement();
    }

    /** Writes what this entry states, and returns the delay before the next step. */
    Duration writeStatement() {
        Optional<EntryRegistration> own = ownObject.flatMap(EntryRegistrationCodec::parse);
        if (own.isEmpty() || statements.origins().isEmpty()) {
            return refresh();
        }
        EntryRegistration registration = registration(statements.origins().get());
        if (registration.origins().equals(own.get().origins())) {
            listener.originsStated(registration.origins());
            return untilNextListing();
        }
        long startedAt = time.monotonicNanos();
        try {
            ownObject = Optional.of(store.update(ownObject.get(), EntryRegistrationCodec.serialise(registration)));
        } catch (StoreException failure) {
            // The listing shows whether the write was applied; if it was not, the registration is written again.
            return refresh();
        }
        renewedAt = Optional.of(startedAt);
        listener.originsStated(registration.origins());
        return untilNextListing();
    }

    private Duration untilNextListing() {
        return Duration.ofNanos(Math.max(0, nextListingAt - time.monotonicNanos()));
    }

    /** Lists the entries, renews this one's registration if it is due, and returns the delay before the next step. */
    Duration refresh() {
        try {
            Listing listing = list();
            Optional<EntryRegistration> own = listing.find(key).flatMap(EntryRegistrationCodec::parse);
            if (renewalDue(own)) {
                listing = renewOrReportListing(listing, own);
            } else if (renewedAt.isEmpty()) {
                renewedAt = own.map(this::renewalOfEarlierProcess);
            }
            ownObject = listing.find(key);
            registeredEntries = listing.objects().size();
            nextListingAt = listing.requestedAt() + KnownEntries.LISTING_INTERVAL.toNanos();
            dependency.restored();
            listener.entriesListed(listed(listing));
            return KnownEntries.LISTING_INTERVAL;
        } catch (StoreException failure) {
            dependency.lost(failure.problem());
            nextListingAt = time.monotonicNanos() + RETRY_DELAY.toNanos();
            return RETRY_DELAY;
        }
    }

    /** Renews this entry's registration; if that fails, reports the listing that was read and throws the failure. */
    private Listing renewOrReportListing(Listing read, Optional<EntryRegistration> own) throws StoreException {
        try {
            return renew(read.find(key), own);
        } catch (StoreException failure) {
            // Without a renewal of this process, the others may not count it, which a listing would have to say.
            if (renewedAt.isPresent()) {
                listener.entriesListed(listed(read));
            }
            throw failure;
        }
    }

    private Listing list() throws StoreException {
        long requestedAt = time.monotonicNanos();
        return new Listing(
                requestedAt,
                store.list(ObjectKind.ENTRY_REGISTRATION).objects().stream()
                        .collect(Collectors.toMap(object -> object.key().name(), object -> object)));
    }

    private boolean renewalDue(Optional<EntryRegistration> own) {
        return own.filter(known -> known.address().equals(address))
                .filter(known -> known.renewedWithin(KnownEntries.RENEWAL_INTERVAL, time.wallClockTime()))
                .filter(known -> statements
                        .origins()
                        .filter(origins -> !origins.equals(known.origins()))
                        .isEmpty())
                .isEmpty();
    }

    /** Returns when an earlier process of this entry has renewed the registration, by the monotonic clock. */
    private long renewalOfEarlierProcess(EntryRegistration registration) {
        return time.monotonicNanos() - Math.max(0, age(registration).toNanos());
    }

    /**
     * Renews this entry's registration, and returns all registrations as they are afterwards.
     *
     * @param stored the registration as it was
     * @param own what it said; empty if it could not be read
     */
    private Listing renew(Optional<StoredObject> stored, Optional<EntryRegistration> own) throws StoreException {
        long startedAt = time.monotonicNanos();
        boolean counted = counted(own);
        // Until this process knows what to state, callers may take up streams that the process before has begun.
        Set<StreamOrigin> origins = statements
                .origins()
                .or(() -> own.filter(known -> known.renewedWithin(OriginStatement.RETENTION, time.wallClockTime()))
                        .map(EntryRegistration::origins))
                .orElse(Set.of());
        write(stored, EntryRegistrationCodec.serialise(registration(origins)));
        renewedAt = Optional.of(startedAt);
        // Of two entries that register at the same moment, at least one finds the other, and reports to it.
        Listing listing = list();
        if (!counted) {
            joinedAt = listing.objects().size() > 1 ? Optional.of(time.monotonicNanos()) : Optional.empty();
        }
        return listing;
    }

    private EntryRegistration registration(Set<StreamOrigin> origins) {
        return new EntryRegistration(address, time.wallClockTime(), origins);
    }

    /** Returns whether the others still count this entry because of its registration as it was, or of its latest renewal. */
    private boolean counted(Optional<EntryRegistration> own) {
        Instant now = time.wallClockTime();
        boolean renewed = renewedAt
                .filter(last -> time.monotonicNanos() - last < KnownEntries.LEASE.toNanos())
                .isPresent();
        return renewed
                || own.filter(known -> known.renewedWithin(KnownEntries.LEASE, now))
                        .isPresent();
    }

    // A write whose response was lost may still be applied; the listing of the next step shows it.
    private void write(Optional<StoredObject> stored, String value) throws StoreException {
        if (stored.isEmpty()) {
            store.create(key, value);
            return;
        }
        store.update(stored.get(), value);
    }

    private ListedEntries listed(Listing listing) {
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        Map<String, OriginStatement> origins = new HashMap<>();
        listing.objects()
                .forEach((entry, object) -> EntryRegistrationCodec.parse(object).ifPresent(registration -> {
                    addresses.put(entry, registration.address());
                    origins.put(entry, new OriginStatement(registration.origins(), age(registration)));
                }));
        Map<String, String> versions = listing.objects().entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, each -> each.getValue().version()));
        return new ListedEntries(
                addresses,
                new EntryListing(versions, renewedAt.orElseThrow(), joinedAt),
                new OriginListing(origins, listing.requestedAt()));
    }

    private Duration age(EntryRegistration registration) {
        return Duration.between(registration.renewedAt(), time.wallClockTime());
    }

    /**
     * The registrations in the store.
     *
     * @param requestedAt when they were requested, in nanoseconds of the monotonic clock
     * @param objects the stored objects by entry name
     */
    private record Listing(long requestedAt, Map<String, StoredObject> objects) {
        Optional<StoredObject> find(ObjectKey key) {
            return Optional.ofNullable(objects.get(key.name()));
        }
    }
}
