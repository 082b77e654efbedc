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
 * One process's part in the planning of one service in one data centre: takes the lease, renews it, publishes plans.
 *
 * <p>Lease and plan are one object, so a holder that was paused past its lease writes against a version that its
 * successor has moved, and the write fails. With two objects it could find its lease valid, be paused, and then replace
 * its successor's plan; engines would be moved twice, and two processes would each believe that they planned.
 *
 * <p>Clocks of different hosts are never compared. A successor waits until it has seen the object unchanged for the
 * whole lease on its own monotonic clock, counted from the end of the read that first showed that version; the holder
 * counts from before it sent the write, and stops a margin earlier.
 *
 * <p>Used by one thread only.
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

    /** Says whether plans may be decided and published now, by this process's own clock. */
    public boolean mayDecide() {
        return tenure.isPresent() && age(tenure.get()).compareTo(terms.usable()) < 0;
    }

    /** Returns the record as it was last written by this holder, while it holds the lease. */
    public Optional<PlanRecord> current() {
        return tenure.map(Tenure::plan);
    }

    /** Takes, renews or observes the lease, whichever is due; call it several times within a lease. */
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

    /** Publishes the next plan if this process may decide. */
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

    /** Gives the lease up, so that a successor need not wait; for a planned stop. */
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
        long seenAt = time.monotonicNanoseconds();
        if (stored.isEmpty()) {
            return create();
        }
        PlanRecord plan = PlanCodec.read(stored.get());
        if (plan.owner().equals(owner) && !plan.resigned()) {
            // A write of ours whose answer was lost. When it landed is not known, so it is renewed before it counts.
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
        long sentAt = time.monotonicNanoseconds();
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
        return Duration.ofNanos(time.monotonicNanoseconds() - held.sentAtNanoseconds());
    }

    private Instant expiry() {
        return time.timeOfDay().plus(terms.length());
    }

    /** The lease while it is held. */
    private record Tenure(StoredObject stored, PlanRecord plan, long sentAtNanoseconds) {}

    /** Since when somebody else's record was seen unchanged. */
    private record Observation(String version, long sinceNanoseconds) {}
}
