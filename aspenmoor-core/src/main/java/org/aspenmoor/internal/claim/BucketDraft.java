package org.aspenmoor.internal.claim;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The next content of one object, worked out from the content that was read and the work that waits. */
final class BucketDraft {
    private final ClaimBucket bucket;
    private final ClaimSettings settings;
    private final Instant now;
    private final List<ClaimVerdict> verdicts = new ArrayList<>();
    private boolean changed;
    private boolean metEarlierClaim;

    BucketDraft(ClaimBucket read, ClaimSettings settings, Instant now) {
        this.bucket = read.copy();
        this.settings = settings;
        this.now = now;
        bucket.dropClaimedBefore(now.minus(settings.life()));
    }

    /** Applies the work: outcomes first, so that a key that never started is free for a claim of the same batch. */
    void apply(BucketWork work) {
        work.outcomes().forEach(this::settle);
        work.claims().forEach(this::claim);
    }

    ClaimBucket bucket() {
        return bucket;
    }

    List<ClaimVerdict> verdicts() {
        return verdicts;
    }

    boolean changed() {
        return changed;
    }

    /** Says whether a verdict rests on a claim that was there before; it must then not be an old reading. */
    boolean metEarlierClaim() {
        return metEarlierClaim;
    }

    private void settle(PendingOutcome outcome) {
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
        RecordedAnswer answer = outcome.answer().get().bounded(settings.mostBodyCharacters());
        bucket.put(entry.get().answeredBy(answer));
        bucket.fitInto(settings.mostBucketCharacters());
        changed = true;
    }

    private void claim(PendingClaim claim) {
        Optional<ClaimEntry> earlier = bucket.find(claim.keyHash());
        if (earlier.isPresent()) {
            verdicts.add(judge(claim, earlier.get()));
            return;
        }
        bucket.put(new ClaimEntry(
                claim.keyHash(), claim.request().bodyDigest(), claim.nonce(), now.getEpochSecond(), Optional.empty()));
        if (!bucket.fitInto(settings.mostBucketCharacters())) {
            bucket.remove(claim.keyHash());
            Duration comeBackAfter = settings.comeBackAfter();
            verdicts.add(new ClaimVerdict.NotClaimed(claim.request(), comeBackAfter, "The team's claims are full."));
            return;
        }
        changed = true;
        verdicts.add(new ClaimVerdict.Granted(claim.request(), claim.ticket()));
    }

    private ClaimVerdict judge(PendingClaim claim, ClaimEntry earlier) {
        if (earlier.nonce().equals(claim.nonce())) {
            // The write whose answer was lost did take effect.
            return new ClaimVerdict.Granted(claim.request(), claim.ticket());
        }
        metEarlierClaim = true;
        if (!earlier.bodyDigest().equals(claim.request().bodyDigest())) {
            return new ClaimVerdict.KeyReused(claim.request());
        }
        return earlier.answer()
                .<ClaimVerdict>map(answer -> new ClaimVerdict.AlreadyAnswered(claim.request(), answer))
                .orElseGet(() -> new ClaimVerdict.StillUnknown(claim.request()));
    }
}
