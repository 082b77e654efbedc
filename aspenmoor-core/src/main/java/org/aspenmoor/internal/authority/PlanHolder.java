package org.aspenmoor.internal.authority;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreConflictException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Acquires and renews the planning lease of one service in one data centre, and publishes role plans under it.
 *
 * <p>Lease and plan are one stored object. A holder that was paused beyond its lease therefore writes with an outdated
 * version, and the write fails. With two objects it could check its lease, be paused, and then replace the plan of its
 * successor; engines would change roles twice, and two processes would act as the planner.
 *
 * <p>Clocks of different hosts are never compared. A successor waits until it has seen the object unchanged for the
 * complete lease by its own monotonic clock, counted from the end of the read that first returned that version. The
 * holder counts from the moment before it sent the write, and stops earlier by a margin.
 *
 * <p>Not thread-safe.
 */
public final class PlanHolder {
    private final ObjectStore store;
    private final ObjectKey key;
    private final String owner;
    private final LeaseTerms terms;
    private final TimeSource time;
    private final SettledWriter writer;

    private Optional<Tenure> tenure = Optional.empty();
    private Optional<Observation> observation = Optional.empty();

    public PlanHolder(
            ObjectStore store, ObjectKey key, String owner, LeaseTerms terms, TimeSource time, RandomGenerator random) {
        this.store = store;
        this.key = key;
        this.owner = owner;
        this.terms = terms;
        this.time = time;
        this.writer = new SettledWriter(store, random);
    }

    /** Returns whether this process may decide on and publish plans now, by its own clock. */
    public boolean mayDecide() {
        return tenure.isPresent() && age(tenure.get()).compareTo(terms.usable()) < 0;
    }

    /** Returns the record that this holder wrote last; empty while it does not hold the lease. */
    public Optional<PlanRecord> current() {
        return tenure.map(Tenure::plan);
    }

    /** Acquires, renews or observes the lease, whichever is due; to be called several times within the lease duration. */
    public HolderStep tend() throws StoreException {
        if (tenure.isEmpty()) {
            return observe();
        }
        Tenure held = tenure.get();
        if (age(held).compareTo(terms.renewEvery()) < 0) {
            return new HolderStep.Held(held.plan().version().term());
        }
        return renew(held.stored(), held.plan());
    }

    /** Publishes the next plan if {@link #mayDecide()} holds. */
    public PublishResult publish(Map<String, EngineAssignment> engines) throws StoreException {
        if (!mayDecide()) {
            return new PublishResult.NotHolder();
        }
        Tenure held = tenure.orElseThrow();
        PlanRecord next = held.plan().published(writer.drawNonce(), expiry(), engines);
        try {
            write(Optional.of(held.stored()), next);
            return new PublishResult.Published(next);
        } catch (StoreConflictException superseded) {
            forget();
            return new PublishResult.Superseded();
        }
    }

    /** Releases the lease before a planned stop, so that a successor need not wait. */
    public void resign() throws StoreException {
        if (tenure.isEmpty()) {
            return;
        }
        Tenure held = tenure.get();
        forget();
        PlanRecord last = held.plan().resignedBy(writer.drawNonce());
        writer.write(key, Optional.of(held.stored()), last.nonce(), PlanCodec.write(last));
    }

    private HolderStep observe() throws StoreException {
        Optional<StoredObject> stored = store.read(key);
        long seenAt = time.monotonicNanos();
        if (stored.isEmpty()) {
            return create();
        }
        PlanRecord plan = PlanCodec.read(stored.get());
        if (plan.owner().equals(owner) && !plan.resigned()) {
            // An own write whose response was lost. The time at which it took effect is not known, so the lease counts
            // as
            // held only after a renewal.
            return renew(stored.get(), plan);
        }
        if (plan.resigned()) {
            return takeOver(stored.get(), plan);
        }
        String version = stored.get().version();
        if (observation.isEmpty() || !observation.get().version().equals(version)) {
            observation = Optional.of(new Observation(version, seenAt));
        }
        Duration unchanged = Duration.ofNanos(seenAt - observation.get().sinceNanoseconds());
        if (unchanged.compareTo(plan.leaseLength()) < 0) {
            return new HolderStep.Observing(plan.owner(), plan.leaseLength().minus(unchanged));
        }
        return takeOver(stored.get(), plan);
    }

    private HolderStep create() throws StoreException {
        PlanRecord first = new PlanRecord(
                owner, writer.drawNonce(), new PlanVersion(1, 0), terms.length(), expiry(), false, Map.of());
        return acquire(Optional.empty(), first);
    }

    private HolderStep takeOver(StoredObject stored, PlanRecord plan) throws StoreException {
        return acquire(Optional.of(stored), plan.takenOver(owner, writer.drawNonce(), terms.length(), expiry()));
    }

    private HolderStep acquire(Optional<StoredObject> base, PlanRecord plan) throws StoreException {
        try {
            write(base, plan);
            return new HolderStep.Acquired(plan.version().term());
        } catch (StoreConflictException outrun) {
            forget();
            return new HolderStep.Observing("", terms.length());
        }
    }

    private HolderStep renew(StoredObject stored, PlanRecord plan) throws StoreException {
        try {
            write(Optional.of(stored), plan.renewed(writer.drawNonce(), expiry()));
            return new HolderStep.Renewed(plan.version().term());
        } catch (StoreConflictException superseded) {
            forget();
            return new HolderStep.Lost(plan.version().term());
        }
    }

    private void write(Optional<StoredObject> base, PlanRecord plan) throws StoreException {
        long sentAt = time.monotonicNanos();
        try {
            StoredObject stored = writer.write(key, base, plan.nonce(), PlanCodec.write(plan));
            tenure = Optional.of(new Tenure(stored, plan, sentAt));
            observation = Optional.empty();
        } catch (StoreOutcomeUnknownException unsettled) {
            forget();
            throw unsettled;
        }
    }

    private void forget() {
        tenure = Optional.empty();
        observation = Optional.empty();
    }

    private Duration age(Tenure held) {
        return Duration.ofNanos(time.monotonicNanos() - held.sentAtNanoseconds());
    }

    private Instant expiry() {
        return time.wallClockTime().plus(terms.length());
    }

    /** The lease while this process holds it. */
    private record Tenure(StoredObject stored, PlanRecord plan, long sentAtNanoseconds) {}

    /** The time since which the record of another holder has been seen unchanged. */
    private record Observation(String version, long sinceNanoseconds) {}
}
