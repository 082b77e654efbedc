package org.aspenmoor.internal.bench.policy.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.aspenmoor.internal.bench.policy.fleet.EngineParameters;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.CacheEvent;

/**
 * A fake engine with continuous batching.
 *
 * <p>It works in iterations. An iteration generates one token for every running answer and prefills a chunk of the
 * queued prompts, those with higher weight first. An iteration takes the time of the decode step plus that of the
 * chunk; the prefill is slowed down if both take place. Running answers reserve cache pieces; prefixes are cached in
 * the remaining ones.
 */
public final class FakeEngine {
    /** Prompt chunks prefilled in an iteration without running answers. */
    private static final int CHUNKS_WHEN_NOT_DECODING = 4;

    private static final double EXTRA_HANDOFF_TOKENS = 8;

    private final String name;
    private final String dataCentre;
    private final EngineParameters parameters;
    private final EventLoop loop;
    private final EngineListener listener;
    private final PrefixCache prefixCache = new PrefixCache();
    private final PriorityQueue<QueuedJob> prefillQueue = new PriorityQueue<>(
            Comparator.comparing((QueuedJob prompt) -> !prompt.job().started())
                    .thenComparing(Comparator.comparingDouble(
                                    (QueuedJob prompt) -> prompt.job().weight())
                            .reversed())
                    .thenComparingLong(QueuedJob::sequence));
    private final PriorityQueue<QueuedJob> handoffQueue = new PriorityQueue<>(
            Comparator.comparingDouble((QueuedJob answer) -> answer.job().weight())
                    .reversed()
                    .thenComparingLong(QueuedJob::sequence));
    private final Set<EngineJob> expectedHandoffs = new HashSet<>();
    private final List<EngineJob> running = new ArrayList<>();
    private EngineRole role;
    private EngineRole nextRole;
    private EngineState state = EngineState.READY;
    private boolean iterating;
    private long incarnation;
    private long nextSequence;
    private long reportCount;
    private int reservedPieces;
    private double roleChangeStartedAt;
    private double awaySeconds;

    public FakeEngine(
            String name,
            String dataCentre,
            EngineParameters parameters,
            EngineRole role,
            EventLoop loop,
            EngineListener listener) {
        this.name = name;
        this.dataCentre = dataCentre;
        this.parameters = parameters;
        this.role = role;
        this.nextRole = role;
        this.loop = loop;
        this.listener = listener;
    }

    /** Queues a request whose prompt is to be prefilled here, or rejects it. */
    public void submit(EngineJob job) {
        if (state != EngineState.READY) {
            listener.jobRejected(job, this);
            return;
        }
        prefillQueue.add(new QueuedJob(job, nextSequence++));
        startIteration();
    }

    /** Records that this engine will receive the handoff of a prompt that is prefilled at another engine. */
    public void expectHandoff(EngineJob job) {
        expectedHandoffs.add(job);
    }

    /** Records that an expected handoff will not take place. */
    public void cancelExpectedHandoff(EngineJob job) {
        expectedHandoffs.remove(job);
    }

    /** Receives the cache of a prompt that was prefilled, or of an answer that was started, at another engine. */
    public void receiveHandoff(EngineJob job) {
        expectedHandoffs.remove(job);
        if (state == EngineState.WITHDRAWN) {
            listener.jobLost(job, this);
            return;
        }
        if (state == EngineState.READY && role != EngineRole.PREFILL) {
            handoffQueue.add(new QueuedJob(job, nextSequence++));
            startIteration();
            return;
        }
        double seconds = parameters.speed().handoffSeconds(job.contextTokens());
        FakeEngine target = listener.chooseHandoffTarget(this).orElse(this);
        target.expectHandoff(job);
        loop.after(seconds, () -> target.receiveHandoff(job));
    }

    /**
     * Orders a role change. Queued requests are returned, running ones are handed off or completed; then the engine is
     * away for the duration of the change.
     */
    public void changeRole(EngineRole newRole) {
        if (state != EngineState.READY || newRole == role) {
            return;
        }
        nextRole = newRole;
        state = EngineState.DRAINING;
        roleChangeStartedAt = loop.nowSeconds();
        listener.stateChanged(this);
        List<QueuedJob> waiting =
                prefillQueue.stream().filter(prompt -> !prompt.job().started()).toList();
        prefillQueue.removeAll(waiting);
        waiting.forEach(prompt -> listener.jobRejected(prompt.job(), this));
        handOffAnswers();
        switchRoleIfEmpty();
    }

    /** Withdraws the engine at once; all its work and its cache are lost. */
    public void withdraw() {
        incarnation++;
        iterating = false;
        if (state == EngineState.DRAINING || state == EngineState.AWAY) {
            awaySeconds += loop.nowSeconds() - roleChangeStartedAt;
        }
        state = EngineState.WITHDRAWN;
        List<EngineJob> lost = new ArrayList<>(running);
        handoffQueue.forEach(answer -> lost.add(answer.job()));
        prefillQueue.forEach(prompt -> lost.add(prompt.job()));
        running.clear();
        handoffQueue.clear();
        prefillQueue.clear();
        reservedPieces = 0;
        prefixCache.clear();
        listener.stateChanged(this);
        lost.forEach(job -> listener.jobLost(job, this));
    }

    /** Restores a withdrawn engine, with the role that was ordered last. */
    public void restore() {
        if (state == EngineState.WITHDRAWN) {
            role = nextRole;
            state = EngineState.READY;
            listener.cacheChanged(this, new CacheEvent.Cleared());
            listener.stateChanged(this);
        }
    }

    /** Returns a report of the current load. */
    public EngineLoad load() {
        double prefillTokens = 0;
        int promptsWithAnswer = 0;
        for (QueuedJob prompt : prefillQueue) {
            prefillTokens += prompt.job().remainingPrefillTokens();
            promptsWithAnswer += prompt.job().decodeEngine().isEmpty() ? 1 : 0;
        }
        return new EngineLoad(
                reportCount++,
                (long) prefillTokens,
                runningSequences() + promptsWithAnswer,
                parameters.maxSequences(),
                Math.max(0, parameters.cachePieces() - reservedPieces),
                parameters.cachePieces());
    }

    /** Returns the name. */
    public String name() {
        return name;
    }

    /** Returns the data centre. */
    public String dataCentre() {
        return dataCentre;
    }

    /** Returns the current role, or the role it is changing to. */
    public EngineRole plannedRole() {
        return nextRole;
    }

    /** Returns the current role. */
    public EngineRole role() {
        return role;
    }

    /** Returns the state. */
    public EngineState state() {
        return state;
    }

    /** Returns the number of answers that are running, queued for decode or expected. */
    public int runningSequences() {
        return running.size() + handoffQueue.size() + expectedHandoffs.size();
    }

    /** Returns the time at which the last role change was ordered, in seconds. */
    public double roleChangeStartedAt() {
        return roleChangeStartedAt;
    }

    /** Returns the total time it was away for role changes, in seconds, including draining. */
    public double awaySeconds() {
        boolean changing = state == EngineState.DRAINING || state == EngineState.AWAY;
        return awaySeconds + (changing ? loop.nowSeconds() - roleChangeStartedAt : 0);
    }

    private void startIteration() {
        if (iterating || state == EngineState.WITHDRAWN || state == EngineState.AWAY) {
            return;
        }
        startHandoffs();
        rejectLateJobs();
        double chunkTokens = 0;
        List<PromptChunk> chunks = new ArrayList<>();
        double maxTokens = running.isEmpty()
                ? CHUNKS_WHEN_NOT_DECODING * parameters.speed().chunkTokens()
                : parameters.speed().chunkTokens();
        List<QueuedJob> taken = new ArrayList<>();
        while (chunkTokens < maxTokens
                && !prefillQueue.isEmpty()
                && canStart(prefillQueue.peek().job())) {
            QueuedJob prompt = prefillQueue.poll();
            startPrefill(prompt.job());
            double tokens = Math.min(prompt.job().remainingPrefillTokens(), maxTokens - chunkTokens);
            chunks.add(new PromptChunk(prompt.job(), tokens));
            chunkTokens += tokens;
            taken.add(prompt);
        }
        prefillQueue.addAll(taken);
        if (chunks.isEmpty() && running.isEmpty()) {
            return;
        }
        iterating = true;
        long startIncarnation = incarnation;
        loop.after(iterationSeconds(chunkTokens), () -> endIteration(startIncarnation, chunks));
    }

    /**
     * Rejects queued requests that can no longer meet their deadline. Stands for the last check by the agent on the
     * host.
     */
    private void rejectLateJobs() {
        List<QueuedJob> late = prefillQueue.stream()
                .filter(prompt -> prompt.job().isTooLate(loop.nowSeconds()))
                .toList();
        prefillQueue.removeAll(late);
        late.forEach(prompt -> listener.jobRejected(prompt.job(), this));
    }

    private double iterationSeconds(double chunkTokens) {
        double prefillSeconds = parameters.speed().prefillSeconds(chunkTokens);
        if (running.isEmpty()) {
            return prefillSeconds;
        }
        return parameters.speed().stepSeconds(running.size())
                + prefillSeconds * (1 + parameters.speed().mixingSlowdown());
    }

    private void endIteration(long startIncarnation, List<PromptChunk> chunks) {
        if (startIncarnation != incarnation) {
            return;
        }
        iterating = false;
        List<EngineJob> completed = new ArrayList<>();
        for (EngineJob job : running) {
            job.tokenGenerated();
            if (job.isAnswerComplete()) {
                completed.add(job);
            }
        }
        running.removeAll(completed);
        completed.forEach(this::releasePieces);
        for (PromptChunk chunk : chunks) {
            chunk.job().prefilled(chunk.tokens());
            if (chunk.job().isPrefilled()) {
                prefillCompleted(chunk.job());
            }
        }
        completed.forEach(job -> listener.answerCompleted(job, this));
        if (state == EngineState.DRAINING) {
            handOffAnswers();
            switchRoleIfEmpty();
        }
        startIteration();
    }

    private void prefillCompleted(EngineJob job) {
        prefillQueue.removeIf(prompt -> prompt.job() == job);
        List<Long> stored = prefixCache.store(job.prefix());
        if (!stored.isEmpty()) {
            listener.cacheChanged(this, new CacheEvent.Stored(stored));
        }
        shrinkPrefixCache();
        listener.firstToken(job);
        if (job.decodeEngine().isEmpty()) {
            running.add(job);
            return;
        }
        releasePieces(job);
        double seconds = parameters.speed().handoffSeconds(job.contextTokens());
        loop.after(seconds, () -> job.decodeEngine().get().receiveHandoff(job));
    }

    private boolean canStart(EngineJob job) {
        if (job.started()) {
            return true;
        }
        boolean slotFree =
                job.decodeEngine().isPresent() || running.size() + startedPrompts() < parameters.maxSequences();
        return slotFree && fitsInCache(job);
    }

    private long startedPrompts() {
        return prefillQueue.stream().filter(prompt -> prompt.job().started()).count();
    }

    private boolean fitsInCache(EngineJob job) {
        return reservedPieces == 0 || reservedPieces + job.pieces(parameters.pieceTokens()) <= parameters.cachePieces();
    }

    private void startPrefill(EngineJob job) {
        if (!job.started()) {
            job.start(prefixCache.lookUp(job.prefix(), parameters.pieceTokens()));
            reservePieces(job);
        }
    }

    private void startHandoffs() {
        while (!handoffQueue.isEmpty()
                && running.size() < parameters.maxSequences()
                && fitsInCache(handoffQueue.peek().job())) {
            EngineJob job = handoffQueue.poll().job();
            reservePieces(job);
            running.add(job);
        }
    }

    private void reservePieces(EngineJob job) {
        reservedPieces += job.pieces(parameters.pieceTokens());
        shrinkPrefixCache();
    }

    private void releasePieces(EngineJob job) {
        reservedPieces -= job.pieces(parameters.pieceTokens());
    }

    private void shrinkPrefixCache() {
        List<Long> evicted = prefixCache.shrinkTo(parameters.cachePieces() - reservedPieces);
        if (!evicted.isEmpty()) {
            listener.cacheChanged(this, new CacheEvent.Removed(evicted));
        }
    }

    /** Hands off the running answers to another engine; if there is none, they are completed here. */
    private void handOffAnswers() {
        if (iterating) {
            return;
        }
        List<EngineJob> answers = new ArrayList<>(running);
        handoffQueue.forEach(answer -> answers.add(answer.job()));
        for (EngineJob job : answers) {
            listener.chooseHandoffTarget(this).ifPresent(target -> {
                if (running.remove(job)) {
                    releasePieces(job);
                }
                handoffQueue.removeIf(answer -> answer.job() == job);
                target.expectHandoff(job);
                double tokens = job.contextTokens() + EXTRA_HANDOFF_TOKENS;
                loop.after(parameters.speed().handoffSeconds(tokens), () -> target.receiveHandoff(job));
            });
        }
    }

    private void switchRoleIfEmpty() {
        if (iterating || !running.isEmpty() || !handoffQueue.isEmpty() || !prefillQueue.isEmpty()) {
            return;
        }
        state = EngineState.AWAY;
        long startIncarnation = incarnation;
        prefixCache.clear();
        loop.after(parameters.roleChangeSeconds(), () -> {
            if (startIncarnation == incarnation) {
                awaySeconds += loop.nowSeconds() - roleChangeStartedAt;
                role = nextRole;
                state = EngineState.READY;
                listener.cacheChanged(this, new CacheEvent.Cleared());
                listener.stateChanged(this);
            }
        });
    }

    private record QueuedJob(EngineJob job, long sequence) {}

    private record PromptChunk(EngineJob job, double tokens) {}
}
