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
    private final LeaseTimings timings;
    private final TimeSource time;
    private final NonceWriter writer;

    private Optional<HeldLease> heldLease = Optional.empty();
    private Optional<Observation> observation = Optional.empty();

    public PlanHolder(
            ObjectStore store,
            ObjectKey key,
            String owner,
            LeaseTimings timings,
            TimeSource time,
            RandomGenerator random) {
        this.store = store;
        this.key = key;
        this.owner = owner;
        this.timings = timings;
        this.time = time;
        this.writer = new NonceWriter(store, random);
    }

    /** Returns whether this process may decide on and publish plans now, by its own clock. */
    public boolean mayDecide() {
        return heldLease.isPresent() && age(heldLease.get()).compareTo(timings.usableDuration()) < 0;
    }

    /** Returns the record that this holder wrote last; empty while it does not hold the lease. */
    public Optional<PlanRecord> current() {
        return heldLease.map(HeldLease::plan);
    }

    /**
     * Acquires, renews or observes the lease, whichever is due; to be called several times within the lease duration.
     */
    public LeaseStep maintainLease() throws StoreException {
        if (heldLease.isEmpty()) {
            return observe();
        }
        HeldLease held = heldLease.get();
        if (age(held).compareTo(timings.renewInterval()) < 0) {
            return new LeaseStep.Held(held.plan().version().term());
        }
        return renew(held.stored(), held.plan());
    }

    /** Publishes the next plan if {@link #mayDecide()} holds. */
    public PublishResult publish(Map<String, EngineAssignment> engines) throws StoreException {
        if (!mayDecide()) {
            return new PublishResult.NotHolder();
        }
        HeldLease held = heldLease.orElseThrow();
        PlanRecord next = held.plan().withPlan(writer.newNonce(), expiry(), engines);
        try {
            write(Optional.of(held.stored()), next);
            return new PublishResult.Published(next);
        } catch (StoreConflictException superseded) {
            dropLease();
            return new PublishResult.Superseded();
        }
    }

    /** Releases the lease before a planned stop, so that a successor need not wait. */
    public void resign() throws StoreException {
        if (heldLease.isEmpty()) {
            return;
        }
        HeldLease held = heldLease.get();
        dropLease();
        PlanRecord released = held.plan().withLeaseReleased(writer.newNonce());
        writer.write(key, Optional.of(held.stored()), released.nonce(), PlanCodec.write(released));
    }

    private LeaseStep observe() throws StoreException {
        Optional<StoredObject> stored = store.read(key);
        long seenAt = time.monotonicNanos();
        if (stored.isEmpty()) {
            return create();
        }
        PlanRecord plan = PlanCodec.read(stored.get());
        if (plan.owner().equals(owner) && !plan.resigned()) {
            // An own write whose response was lost. The time at which it took effect is not known, so the lease counts
            // as held only after a renewal.
            return renew(stored.get(), plan);
        }
        if (plan.resigned()) {
            return takeOver(stored.get(), plan);
        }
        String version = stored.get().version();
        if (observation.isEmpty() || !observation.get().version().equals(version)) {
            observation = Optional.of(new Observation(version, seenAt));
        }
        Duration unchanged = Duration.ofNanos(seenAt - observation.get().sinceNanos());
        if (unchanged.compareTo(plan.leaseLength()) < 0) {
            return new LeaseStep.Observing(plan.owner(), plan.leaseLength().minus(unchanged));
        }
        return takeOver(stored.get(), plan);
    }

    private LeaseStep create() throws StoreException {
        PlanRecord first = new PlanRecord(
                owner, writer.newNonce(), new PlanVersion(1, 0), timings.duration(), expiry(), false, Map.of());
        return acquire(Optional.empty(), first);
    }

    private LeaseStep takeOver(StoredObject stored, PlanRecord plan) throws StoreException {
        return acquire(Optional.of(stored), plan.takenOver(owner, writer.newNonce(), timings.duration(), expiry()));
    }

    private LeaseStep acquire(Optional<StoredObject> base, PlanRecord plan) throws StoreException {
        try {
            write(base, plan);
            return new LeaseStep.Acquired(plan.version().term());
        } catch (StoreConflictException conflict) {
            dropLease();
            return new LeaseStep.Observing("", timings.duration());
        }
    }

    private LeaseStep renew(StoredObject stored, PlanRecord plan) throws StoreException {
        try {
            write(Optional.of(stored), plan.renewed(writer.newNonce(), expiry()));
            return new LeaseStep.Renewed(plan.version().term());
        } catch (StoreConflictException superseded) {
            dropLease();
            return new LeaseStep.Lost(plan.version().term());
        }
    }

    private void write(Optional<StoredObject> base, PlanRecord plan) throws StoreException {
        long sentAt = time.monotonicNanos();
        try {
            StoredObject stored = writer.write(key, base, plan.nonce(), PlanCodec.write(plan));
            heldLease = Optional.of(new HeldLease(stored, plan, sentAt));
            observation = Optional.empty();
        } catch (StoreOutcomeUnknownException unknownOutcome) {
            dropLease();
            throw unknownOutcome;
        }
    }

    private void dropLease() {
        heldLease = Optional.empty();
        observation = Optional.empty();
    }

    private Duration age(HeldLease held) {
        return Duration.ofNanos(time.monotonicNanos() - held.sentAtNanos());
    }

    private Instant expiry() {
        return time.wallClockTime().plus(timings.duration());
    }

    /** The lease while this process holds it. */
    private record HeldLease(StoredObject stored, PlanRecord plan, long sentAtNanos) {}

    /** The time since which the record of another holder has been seen unchanged. */
    private record Observation(String version, long sinceNanos) {}
}
