package org.aspenmoor.internal.claim;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The next content of one object, worked out from the content that was read and the work that waits. */
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

    /** Applies the work: outcomes first, so that a key that never started is free for a claim of the same batch. */
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

    /** Says whether a verdict rests on a claim that was there before; it must then not be an old reading. */
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
            decisions.add(new ClaimDecision.NotClaimed(claim.request(), retryAfter, "The team's claims are full."));
            return;
        }
        changed = true;
        decisions.add(new ClaimDecision.Granted(claim.request(), claim.ticket()));
    }

    private ClaimDecision decideOnEarlier(PendingClaim claim, ClaimEntry earlier) {
        if (earlier.nonce().equals(claim.nonce())) {
            // The write whose answer was lost did take effect.
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
