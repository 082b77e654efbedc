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
 * A small fake of an engine that batches continuously.
 *
 * <p>It works in iterations. An iteration generates one token for every running answer and computes a chunk of the
 * prompts that wait, heavier ones first. Its time is that of the decode step plus that of the chunk, the latter slowed
 * where both happen. Running answers reserve cache pieces; prefixes are cached in what is left.
 */
public final class FakeEngine {
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

    /** Takes a request whose prompt is to be computed here. */
    public void submit(EngineJob job) {
        if (state != EngineState.READY) {
            listener.jobRejected(job, this);
            return;
        }
        prefillQueue.add(new QueuedJob(job, nextSequence++));
        startIteration();
    }

    /** Notes that the answer of a prompt that is computed elsewhere will be generated here. */
    public void expectHandoff(EngineJob job) {
        expectedHandoffs.add(job);
    }

    /** Notes that an expected answer will not come. */
    public void cancelExpectedHandoff(EngineJob job) {
        expectedHandoffs.remove(job);
    }

    /** Takes over the cache of a computed prompt, or of an answer that was begun elsewhere. */
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
        double seconds = parameters.speed().handOverSeconds(job.contextTokens());
        FakeEngine target = listener.chooseHandoffTarget(this).orElse(this);
        target.expectHandoff(job);
        loop.after(seconds, () -> target.receiveHandoff(job));
    }

    /** Orders a role change: what waits is given back, what runs is handed over or ended, then the engine is away. */
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

    /** Takes the engine away at once; everything on it is lost. */
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

    /** Brings a withdrawn engine back with the role it was last given. */
    public void restore() {
        if (state == EngineState.WITHDRAWN) {
            role = nextRole;
            state = EngineState.READY;
            listener.cacheChanged(this, new CacheEvent.Cleared());
            listener.stateChanged(this);
        }
    }

    /** Returns a load report of this moment. */
    public EngineLoad load() {
        double prefillTokens = 0;
        int answersToFollow = 0;
        for (QueuedJob prompt : prefillQueue) {
            prefillTokens += prompt.job().remainingPrefillTokens();
            answersToFollow += prompt.job().decodeEngine().isEmpty() ? 1 : 0;
        }
        return new EngineLoad(
                reportCount++,
                (long) prefillTokens,
                runningSequences() + answersToFollow,
                parameters.maxSequences(),
                Math.max(0, parameters.cachePieces() - reservedPieces),
                parameters.cachePieces());
    }

    /** Returns its name. */
    public String name() {
        return name;
    }

    /** Returns where it stands. */
    public String dataCentre() {
        return dataCentre;
    }

    /** Returns the role it has, or is changing to. */
    public EngineRole plannedRole() {
        return nextRole;
    }

    /** Returns the role it has now. */
    public EngineRole role() {
        return role;
    }

    /** Returns whether it works. */
    public EngineState state() {
        return state;
    }

    /** Returns how many answers it generates or will, as far as its agent knows. */
    public int runningSequences() {
        return running.size() + handoffQueue.size() + expectedHandoffs.size();
    }

    /** Returns since when it has been changing its role, in seconds. */
    public double roleChangeStartedAt() {
        return roleChangeStartedAt;
    }

    /** Returns the seconds it was away for role changes so far, draining included. */
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

    /** The agent beside the engine looks at the deadline a last time before a request starts. */
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
        double seconds = parameters.speed().handOverSeconds(job.contextTokens());
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

    /** Exports the running answers to an engine that can take them; without one they end here. */
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
                loop.after(parameters.speed().handOverSeconds(tokens), () -> target.receiveHandoff(job));
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
