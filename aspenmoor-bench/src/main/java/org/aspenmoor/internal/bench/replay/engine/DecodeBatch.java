package org.aspenmoor.internal.bench.replay.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.bench.replay.customer.EngineProfile;

/**
 * The answers that an engine generates concurrently, and the prompt that it prefills between the decode steps.
 *
 * <p>A step takes longer with each answer and each token in memory. While a prompt is prefilled, each step also
 * prefills a quarter of a chunk at half the usual rate.
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

    /** Returns whether a slot and enough memory are free for a job. */
    boolean hasRoomFor(EngineJob job) {
        int usedSlots = running.size() + (prefilling.isPresent() ? 1 : 0);
        return usedSlots < profile.slots() && cacheTokens() + job.prompt().promptTokens() <= profile.cacheTokens();
    }

    double cacheTokens() {
        return running.stream().mapToDouble(EngineJob::cacheTokens).sum()
                + prefilling.map(EngineJob::requiredCacheTokens).orElse(0.0);
    }

    /** Starts to generate the answer of a job whose prompt is prefilled. */
    void startDecode(EngineJob job) {
        job.startDecode();
        running.add(job);
    }

    /** Starts to prefill the tokens of a prompt that are not cached. */
    void startPrefill(EngineJob job, double missingTokens) {
        job.startPrefill(missingTokens);
        prefilling = Optional.of(job);
    }

    /** Advances all jobs by some time; returns those that completed an event, each once. */
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

    /** Removes and returns the job whose prefill is complete, if any. */
    Optional<EngineJob> takePrefilled() {
        Optional<EngineJob> prefilled = prefilling.filter(EngineJob::prefillComplete);
        prefilled.ifPresent(job -> prefilling = Optional.empty());
        return prefilled;
    }

    /** Removes and returns the answer to preempt if the memory is exceeded: the newest of the least urgent. */
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
