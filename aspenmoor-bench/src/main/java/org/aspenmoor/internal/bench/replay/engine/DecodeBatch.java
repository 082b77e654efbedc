package org.aspenmoor.internal.bench.replay.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.bench.replay.customer.EngineProfile;

/**
 * The answers that one engine generates at once, and the prompt that it computes between their steps.
 *
 * <p>A step takes longer with each answer and each token in memory. While a prompt is computed, each step also computes a
 * quarter of a chunk at half the usual rate.
 */
final class DecodeBatch {
    private static final double MIXED_CHUNK_FRACTION = 0.25;
    private static final double MIXED_RATE_FRACTION = 0.5;

    private final EngineProfile profile;
    private final double slowdown;
    private final List<EngineJob> running = new ArrayList<>();
    private Optional<EngineJob> prefilling = Optional.empty();

    DecodeBatch(EngineProfile profile, double slowdown) {
        this.profile = profile;
        this.slowdown = slowdown;
    }

    int size() {
        return running.size();
    }

    boolean isIdle() {
        return running.isEmpty() && prefilling.isEmpty();
    }

    boolean isPrefilling() {
        return prefilling.isPresent();
    }

    /** Returns whether there is a slot and memory for a job. */
    boolean hasRoomFor(EngineJob job) {
        int usedSlots = running.size() + (prefilling.isPresent() ? 1 : 0);
        return usedSlots < profile.slots() && cacheTokens() + job.prompt().promptTokens() <= profile.cacheTokens();
    }

    double cacheTokens() {
        return running.stream().mapToDouble(EngineJob::cacheTokens).sum()
                + prefilling.map(EngineJob::requiredCacheTokens).orElse(0.0);
    }

    /** Begins to generate the answer of a job whose prompt is computed. */
    void startDecode(EngineJob job) {
        job.startDecode();
        running.add(job);
    }

    /** Begins to compute a prompt of which so many tokens are missing. */
    void startPrefill(EngineJob job, double missingTokens) {
        job.startPrefill(missingTokens);
        prefilling = Optional.of(job);
    }

    /** Lets some time pass; returns the jobs that made an event, once for each. */
    List<EngineJob> advance(double seconds) {
        double chunkTokens = profile.chunkTokens() * MIXED_CHUNK_FRACTION;
        double chunkSeconds =
                prefilling.isPresent() ? chunkTokens / (profile.prefillTokensPerSecond() * MIXED_RATE_FRACTION) : 0;
        double steps = seconds / (slowdown * (profile.stepSeconds(running.size(), cacheTokens()) + chunkSeconds));
        List<EngineJob> withEvent = new ArrayList<>();
        for (EngineJob job : running) {
            if (job.decode(steps, profile.tokensPerEvent())) {
                withEvent.add(job);
            }
        }
        prefilling.ifPresent(job -> job.prefilled(steps * chunkTokens));
        return withEvent;
    }

    /** Returns the job whose prompt has become complete and takes it out. */
    Optional<EngineJob> takePrefilled() {
        Optional<EngineJob> prefilled = prefilling.filter(EngineJob::prefillComplete);
        prefilled.ifPresent(job -> prefilling = Optional.empty());
        return prefilled;
    }

    /** Returns the answer that yields where memory has run out, and takes it out: the newest of the least urgent. */
    Optional<EngineJob> takePreempted() {
        if (cacheTokens() <= profile.cacheTokens() || running.size() < 2) {
            return Optional.empty();
        }
        EngineJob preempted = running.stream().max(EngineJob.BY_PRIORITY).orElseThrow();
        running.remove(preempted);
        return Optional.of(preempted);
    }

    boolean remove(EngineJob job) {
        if (prefilling.filter(job::equals).isPresent()) {
            prefilling = Optional.empty();
            return true;
        }
        return running.remove(job);
    }

    void drainTo(List<EngineJob> target) {
        target.addAll(running);
        prefilling.ifPresent(target::add);
        running.clear();
        prefilling = Optional.empty();
    }
}
