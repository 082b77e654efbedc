package org.aspenmoor.internal.bench.replay.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.bench.replay.customer.EngineFigures;

/**
 * The answers that one engine generates at once, and the prompt that it computes between their steps.
 *
 * <p>A step takes longer with each answer and each token in memory. While a prompt is computed, each step also computes a
 * quarter of a chunk at half the usual rate.
 */
final class AnswerBatch {
    private static final double OWN_CHUNK_SHARE = 0.25;
    private static final double OWN_RATE_SHARE = 0.5;

    private final EngineFigures figures;
    private final double slowness;
    private final List<EngineJob> running = new ArrayList<>();
    private Optional<EngineJob> computing = Optional.empty();

    AnswerBatch(EngineFigures figures, double slowness) {
        this.figures = figures;
        this.slowness = slowness;
    }

    int size() {
        return running.size();
    }

    boolean idle() {
        return running.isEmpty() && computing.isEmpty();
    }

    boolean computes() {
        return computing.isPresent();
    }

    /** Returns whether there is a slot and memory for a job. */
    boolean room(EngineJob job) {
        int taken = running.size() + (computing.isPresent() ? 1 : 0);
        return taken < figures.slots() && tokens() + job.prompt().promptTokens() <= figures.cacheTokens();
    }

    double tokens() {
        return running.stream().mapToDouble(EngineJob::tokens).sum()
                + computing.map(EngineJob::tokensNeeded).orElse(0.0);
    }

    /** Begins to generate the answer of a job whose prompt is computed. */
    void join(EngineJob job) {
        job.beginAnswer();
        running.add(job);
    }

    /** Begins to compute a prompt of which so many tokens are missing. */
    void compute(EngineJob job, double missing) {
        job.compute(missing);
        computing = Optional.of(job);
    }

    /** Lets some time pass; returns the jobs that made an event, once for each. */
    List<EngineJob> advance(double seconds) {
        double chunk = figures.chunkTokens() * OWN_CHUNK_SHARE;
        double mixed = computing.isPresent() ? chunk / (figures.promptTokensPerSecond() * OWN_RATE_SHARE) : 0;
        double steps = seconds / (slowness * (figures.stepSeconds(running.size(), tokens()) + mixed));
        List<EngineJob> made = new ArrayList<>();
        for (EngineJob job : running) {
            if (job.step(steps, figures.tokensPerEvent())) {
                made.add(job);
            }
        }
        computing.ifPresent(job -> job.computed(steps * chunk));
        return made;
    }

    /** Returns the job whose prompt has become complete and takes it out. */
    Optional<EngineJob> takeComputed() {
        Optional<EngineJob> done = computing.filter(EngineJob::promptComplete);
        done.ifPresent(job -> computing = Optional.empty());
        return done;
    }

    /** Returns the answer that yields where memory has run out, and takes it out: the newest of the least urgent. */
    Optional<EngineJob> takeOverflowing() {
        if (tokens() <= figures.cacheTokens() || running.size() < 2) {
            return Optional.empty();
        }
        EngineJob yields = running.stream().max(EngineJob.BY_RANK).orElseThrow();
        running.remove(yields);
        return Optional.of(yields);
    }

    boolean remove(EngineJob job) {
        if (computing.filter(job::equals).isPresent()) {
            computing = Optional.empty();
            return true;
        }
        return running.remove(job);
    }

    void drainTo(List<EngineJob> target) {
        target.addAll(running);
        computing.ifPresent(target::add);
        running.clear();
        computing = Optional.empty();
    }
}
