package org.aspenmoor.internal.claim;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Computes the next content of a claim bucket from the stored content and the pending claims and outcomes. */
final class BucketUpdate {
    private final ClaimBucket bucket;
    private final ClaimSettings settings;
    private final Instant now;
    private final List<ClaimDecision> decisions = new ArrayList<>();
    private boolean changed;
    private boolean foundEarlierClaim;

    BucketUpdate(ClaimBucket read, ClaimSettings settings, Instant now) {
        this.bucket = read.copy();
        this.settings = settings;
        this.now = now;
        bucket.removeClaimedBefore(now.minus(settings.retention()));
    }

    /** Applies outcomes before claims, so that the key of a call that never started can be claimed in the same batch. */
    void apply(BucketWork work) {
        work.outcomes().forEach(this::applyOutcome);
        work.claims().forEach(this::applyClaim);
    }

    ClaimBucket bucket() {
        return bucket;
    }

    List<ClaimDecision> decisions() {
        return decisions;
    }

    boolean changed() {
        return changed;
    }

    /** Returns whether a decision depends on an earlier claim; it must then be based on a current read of the store. */
    boolean foundEarlierClaim() {
        return foundEarlierClaim;
    }

    private void applyOutcome(PendingOutcome outcome) {
        String keyHash = outcome.ticket().key().hash();
        Optional<ClaimEntry> entry = bucket.find(keyHash)
                .filter(found -> found.nonce().equals(outcome.ticket().nonce()));
        if (entry.isEmpty()) {
            return;
        }
        if (outcome.answer().isEmpty()) {
            bucket.remove(keyHash);
            changed = true;
            return;
        }
        if (entry.get().answer().isPresent()) {
            return;
        }
        RecordedAnswer answer = outcome.answer().get().withBodyUpTo(settings.maxBodyCharacters());
        bucket.put(entry.get().withAnswer(answer));
        bucket.trimTo(settings.maxBucketCharacters());
        changed = true;
    }

    private void applyClaim(PendingClaim claim) {
        Optional<ClaimEntry> earlier = bucket.find(claim.keyHash());
        if (earlier.isPresent()) {
            decisions.add(decideOnEarlier(claim, earlier.get()));
            return;
        }
        bucket.put(new ClaimEntry(
                claim.keyHash(), claim.request().bodyDigest(), claim.nonce(), now.getEpochSecond(), Optional.empty()));
        if (!bucket.trimTo(settings.maxBucketCharacters())) {
            bucket.remove(claim.keyHash());
            Duration retryAfter = settings.minRetryAfter();
            decisions.add(new ClaimDecision.NotClaimed(
                    claim.request(), retryAfter, "The team's claims have reached their maximum size."));
            return;
        }
        changed = true;
        decisions.add(new ClaimDecision.Granted(claim.request(), claim.ticket()));
    }

    private ClaimDecision decideOnEarlier(PendingClaim claim, ClaimEntry earlier) {
        if (earlier.nonce().equals(claim.nonce())) {
            // This is our own claim: an earlier write whose answer was lost took effect.
            return new ClaimDecision.Granted(claim.request(), claim.ticket());
        }
        foundEarlierClaim = true;
        if (!earlier.bodyDigest().equals(claim.request().bodyDigest())) {
            return new ClaimDecision.KeyReused(claim.request());
        }
        return earlier.answer()
                .<ClaimDecision>map(answer -> new ClaimDecision.AlreadyAnswered(claim.request(), answer))
                .orElseGet(() -> new ClaimDecision.OutcomeUnknown(claim.request()));
    }
}
