package org.aspenmoor.internal.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreConflictException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Claims the idempotency keys of at-most-once calls in the store, many claims with one write.
 *
 * <p>If a call were recorded only after its dispatch, it would run twice when the entry terminates in between and the
 * caller retries at another entry. Therefore the claim is stored before the dispatch. A claim without a recorded outcome
 * means that the call may have run; its key is not granted again. If the answer of the store to a write is lost, the
 * committer recognises its own claim by the nonce.
 *
 * <p>Used by one thread only.
 */
public final class ClaimCommitter {
    private static final int MAX_ATTEMPTS = 6;
    private static final int MAX_CLAIMS_PER_BATCH = 500;

    private final ObjectStore store;
    private final ClaimSettings settings;
    private final TimeSource time;
    private final RandomGenerator random;
    private final BucketCache cache = new BucketCache();
    private final Map<ObjectKey, BucketWork> waiting = new LinkedHashMap<>();
    private int waitingClaims;
    private int waitingOutcomes;
    private long droppedOutcomes;

    public ClaimCommitter(ObjectStore store, ClaimSettings settings, TimeSource time, RandomGenerator random) {
        this.store = store;
        this.settings = settings;
        this.time = time;
        this.random = random;
    }

    /** Queues a claim for the next batch; returns false if too many are waiting and the call must be refused as not run. */
    public boolean submit(ClaimRequest request) {
        if (waitingClaims >= settings.maxWaiting()) {
            return false;
        }
        String nonce = String.format("%016x%016x", random.nextLong(), random.nextLong());
        workFor(request.key()).claims().add(new PendingClaim(request, nonce));
        waitingClaims++;
        return true;
    }

    /** Queues the answer of a granted call to be recorded. */
    public void recordAnswer(ClaimTicket ticket, RecordedAnswer answer) {
        queueOutcome(new PendingOutcome(ticket, Optional.of(answer)));
    }

    /** Queues the release of the key of a granted call that certainly never started. */
    public void recordNeverStarted(ClaimTicket ticket) {
        queueOutcome(new PendingOutcome(ticket, Optional.empty()));
    }

    /** Returns whether a batch is due to be committed. */
    public boolean hasDueWork() {
        return nextDue().isPresent();
    }

    /** Returns how many outcomes were dropped because too many were waiting; the outcomes of these calls stay unknown. */
    public long droppedOutcomes() {
        return droppedOutcomes;
    }

    /** Writes the pending claims and outcomes of one bucket and returns the decisions on its claims. */
    public List<ClaimDecision> commitBatch() {
        Optional<ObjectKey> due = nextDue();
        if (due.isEmpty()) {
            return List.of();
        }
        BucketWork work = takeWork(due.get());
        boolean mayHaveTakenEffect = false;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            try {
                return commit(due.get(), work);
            } catch (StoreConflictException conflict) {
                cache.invalidate(due.get());
            } catch (StoreOutcomeUnknownException outcomeUnknown) {
                mayHaveTakenEffect = true;
                cache.invalidate(due.get());
            } catch (StoreException failure) {
                cache.invalidate(due.get());
                return rejectBatch(work, mayHaveTakenEffect, failure.problem());
            }
        }
        return rejectBatch(work, mayHaveTakenEffect, "Too many concurrent writes to the team's claims.");
    }

    private List<ClaimDecision> commit(ObjectKey key, BucketWork work) throws StoreException {
        Optional<BucketCache.CachedBucket> cached = cache.find(key);
        BucketCache.CachedBucket known = cached.isPresent() ? cached.get() : read(key);
        BucketUpdate update = applyTo(known, work);
        if (update.foundEarlierClaim() && cached.isPresent()) {
            // Another entry may have recorded the outcome of the earlier claim since the cached read.
            known = read(key);
            update = applyTo(known, work);
        }
        if (update.changed()) {
            String value = ClaimCodec.write(update.bucket());
            Optional<StoredObject> base = known.stored();
            StoredObject written = base.isEmpty() ? store.create(key, value) : store.update(base.get(), value);
            cache.put(key, written, update.bucket());
        }
        return update.decisions();
    }

    private BucketUpdate applyTo(BucketCache.CachedBucket known, BucketWork work) {
        BucketUpdate update = new BucketUpdate(known.bucket(), settings, time.wallClockTime());
        update.apply(work);
        return update;
    }

    private BucketCache.CachedBucket read(ObjectKey key) throws StoreException {
        Optional<StoredObject> stored = store.read(key);
        if (stored.isEmpty()) {
            return new BucketCache.CachedBucket(stored, new ClaimBucket(List.of()));
        }
        return new BucketCache.CachedBucket(stored, ClaimCodec.read(stored.get()));
    }

    private List<ClaimDecision> rejectBatch(BucketWork work, boolean mayHaveTakenEffect, String detail) {
        work.outcomes().forEach(this::queueOutcome);
        List<ClaimDecision> decisions = new ArrayList<>();
        for (PendingClaim claim : work.claims()) {
            if (mayHaveTakenEffect) {
                // The call was not dispatched, so its key must not stay claimed.
                recordNeverStarted(claim.ticket());
            }
            decisions.add(new ClaimDecision.NotClaimed(claim.request(), randomRetryAfter(), detail));
        }
        return decisions;
    }

    private Duration randomRetryAfter() {
        long minMillis = settings.minRetryAfter().toMillis();
        return Duration.ofMillis(minMillis + random.nextLong(minMillis + 1));
    }

    private void queueOutcome(PendingOutcome outcome) {
        if (waitingOutcomes >= settings.maxWaiting()) {
            droppedOutcomes++;
            return;
        }
        workFor(outcome.ticket().key()).outcomes().add(outcome);
        waitingOutcomes++;
    }

    private BucketWork workFor(ClaimKey key) {
        int bucket = Math.floorMod(key.hash().hashCode(), settings.bucketsPerTeam());
        ObjectKey object = new ObjectKey(ObjectKind.CLAIM_BUCKET, key.team(), "bucket-" + bucket);
        return waiting.computeIfAbsent(object, unused -> new BucketWork(time.monotonicNanos()));
    }

    private Optional<ObjectKey> nextDue() {
        return waiting.entrySet().stream()
                .filter(entry -> isDue(entry.getValue()))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    private boolean isDue(BucketWork work) {
        if (!work.claims().isEmpty()) {
            return true;
        }
        long age = time.monotonicNanos() - work.queuedAtNanos();
        return age >= settings.outcomeDelay().toNanos();
    }

    private BucketWork takeWork(ObjectKey key) {
        BucketWork work = waiting.remove(key);
        BucketWork batch = new BucketWork(work.queuedAtNanos());
        int taken = Math.min(work.claims().size(), MAX_CLAIMS_PER_BATCH);
        batch.claims().addAll(work.claims().subList(0, taken));
        batch.outcomes().addAll(work.outcomes());
        waitingClaims -= taken;
        waitingOutcomes -= work.outcomes().size();
        if (taken < work.claims().size()) {
            BucketWork rest = new BucketWork(work.queuedAtNanos());
            rest.claims().addAll(work.claims().subList(taken, work.claims().size()));
            waiting.put(key, rest);
        }
        return batch;
    }
}
