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
 * Claims calls that may run once, many with one write.
 *
 * <p>A booking that is dispatched first and recorded after runs twice when its entry dies in between and the caller asks
 * another entry. So the claim is in the store before the dispatch; a claim without a recorded outcome means that the
 * call may have run, and is never granted again. A claim of its own whose answer was lost is recognised by its nonce.
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

    /** Queues a claim for the next batch; false where too many wait already, and the call is refused as not run. */
    public boolean submit(ClaimRequest request) {
        if (waitingClaims >= settings.maxWaiting()) {
            return false;
        }
        String nonce = String.format("%016x%016x", random.nextLong(), random.nextLong());
        workOf(request.key()).claims().add(new PendingClaim(request, nonce));
        waitingClaims++;
        return true;
    }

    /** Reports what a granted call was answered. */
    public void recordAnswer(ClaimTicket ticket, RecordedAnswer answer) {
        queueOutcome(new PendingOutcome(ticket, Optional.of(answer)));
    }

    /** Reports that a granted call certainly never started; its key becomes free. */
    public void recordNeverStarted(ClaimTicket ticket) {
        queueOutcome(new PendingOutcome(ticket, Optional.empty()));
    }

    /** Says whether a commit would have something to do now. */
    public boolean hasDueWork() {
        return nextDue().isPresent();
    }

    /** Returns how many outcomes were given up because too many waited; their calls stay unknown. */
    public long droppedOutcomes() {
        return droppedOutcomes;
    }

    /** Writes what waits for one object, and returns the verdicts on its claims. */
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
        return rejectBatch(work, mayHaveTakenEffect, "Too many others write the same claims.");
    }

    private List<ClaimDecision> commit(ObjectKey key, BucketWork work) throws StoreException {
        Optional<BucketCache.CachedBucket> cached = cache.find(key);
        BucketCache.CachedBucket known = cached.isPresent() ? cached.get() : read(key);
        BucketUpdate update = applyTo(known, work);
        if (update.foundEarlierClaim() && cached.isPresent()) {
            // The outcome of an earlier claim may have been recorded elsewhere since.
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
        BucketUpdate update = new BucketUpdate(known.bucket(), settings, time.timeOfDay());
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
                // Nothing was dispatched under it, so the key must not stay taken.
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
        workOf(outcome.ticket().key()).outcomes().add(outcome);
        waitingOutcomes++;
    }

    private BucketWork workOf(ClaimKey key) {
        int bucket = Math.floorMod(key.hash().hashCode(), settings.bucketsPerTeam());
        ObjectKey object = new ObjectKey(ObjectKind.CLAIM_BUCKET, key.team(), "bucket-" + bucket);
        return waiting.computeIfAbsent(object, unused -> new BucketWork(time.monotonicNanoseconds()));
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
        long age = time.monotonicNanoseconds() - work.queuedAtNanos();
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
