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
    private static final int CHUNKS_WHEN_ALONE = 4;
    private static final double TAKE_OVER_TOKENS = 8;

    private final String name;
    private final String dataCentre;
    private final EngineParameters parameters;
    private final EventLoop loop;
    private final EngineListener listener;
    private final PrefixMemory prefixes = new PrefixMemory();
    private final PriorityQueue<QueuedJob> prompts = new PriorityQueue<>(
            Comparator.comparing((QueuedJob prompt) -> !prompt.job().started())
                    .thenComparing(Comparator.comparingDouble(
                                    (QueuedJob prompt) -> prompt.job().weight())
                            .reversed())
                    .thenComparingLong(QueuedJob::number));
    private final PriorityQueue<QueuedJob> handedOver = new PriorityQueue<>(
            Comparator.comparingDouble((QueuedJob answer) -> answer.job().weight())
                    .reversed()
                    .thenComparingLong(QueuedJob::number));
    private final Set<EngineJob> expected = new HashSet<>();
    private final List<EngineJob> running = new ArrayList<>();
    private EngineRole role;
    private EngineRole nextRole;
    private EngineState state = EngineState.READY;
    private boolean iterating;
    private long epoch;
    private long queued;
    private long reports;
    private int piecesInUse;
    private double awaySince;
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
            listener.notStarted(job, this);
            return;
        }
        prompts.add(new QueuedJob(job, queued++));
        iterate();
    }

    /** Notes that the answer of a prompt that is computed elsewhere will be generated here. */
    public void expect(EngineJob job) {
        expected.add(job);
    }

    /** Notes that an expected answer will not come. */
    public void forget(EngineJob job) {
        expected.remove(job);
    }

    /** Takes over the cache of a computed prompt, or of an answer that was begun elsewhere. */
    public void handOver(EngineJob job) {
        expected.remove(job);
        if (state == EngineState.WITHDRAWN) {
            listener.lost(job, this);
            return;
        }
        if (state == EngineState.READY && role != EngineRole.PREFILL) {
            handedOver.add(new QueuedJob(job, queued++));
            iterate();
            return;
        }
        double seconds = parameters.speed().handoffSeconds(job.contextTokens());
        FakeEngine other = listener.takeOver(this).orElse(this);
        other.expect(job);
        loop.after(seconds, () -> other.handOver(job));
    }

    /** Orders a role change: what waits is given back, what runs is handed over or ended, then the engine is away. */
    public void changeRole(EngineRole newRole) {
        if (state != EngineState.READY || newRole == role) {
            return;
        }
        nextRole = newRole;
        state = EngineState.DRAINING;
        awaySince = loop.nowSeconds();
        listener.stateChanged(this);
        List<QueuedJob> waiting =
                prompts.stream().filter(prompt -> !prompt.job().started()).toList();
        prompts.removeAll(waiting);
        waiting.forEach(prompt -> listener.notStarted(prompt.job(), this));
        handAnswersOver();
        leaveIfEmpty();
    }

    /** Takes the engine away at once; everything on it is lost. */
    public void withdraw() {
        epoch++;
        iterating = false;
        if (state == EngineState.DRAINING || state == EngineState.AWAY) {
            awaySeconds += loop.nowSeconds() - awaySince;
        }
        state = EngineState.WITHDRAWN;
        List<EngineJob> lost = new ArrayList<>(running);
        handedOver.forEach(answer -> lost.add(answer.job()));
        prompts.forEach(prompt -> lost.add(prompt.job()));
        running.clear();
        handedOver.clear();
        prompts.clear();
        piecesInUse = 0;
        prefixes.clear();
        listener.stateChanged(this);
        lost.forEach(job -> listener.lost(job, this));
    }

    /** Brings a withdrawn engine back with the role it was last given. */
    public void comeBack() {
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
        int prompting = 0;
        for (QueuedJob prompt : prompts) {
            prefillTokens += prompt.job().prefillLeft();
            prompting += prompt.job().answerEngine().isEmpty() ? 1 : 0;
        }
        return new EngineLoad(
                reports++,
                (long) prefillTokens,
                runningSequences() + prompting,
                parameters.mostSequences(),
                Math.max(0, parameters.cachePieces() - piecesInUse),
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
        return running.size() + handedOver.size() + expected.size();
    }

    /** Returns since when it has been changing its role, in seconds. */
    public double changingSince() {
        return awaySince;
    }

    /** Returns the seconds it was away for role changes so far, draining included. */
    public double awaySeconds() {
        boolean changing = state == EngineState.DRAINING || state == EngineState.AWAY;
        return awaySeconds + (changing ? loop.nowSeconds() - awaySince : 0);
    }

    private void iterate() {
        if (iterating || state == EngineState.WITHDRAWN || state == EngineState.AWAY) {
            return;
        }
        startAnswers();
        giveBackLate();
        double chunk = 0;
        List<PromptChunk> chunks = new ArrayList<>();
        double most = running.isEmpty()
                ? CHUNKS_WHEN_ALONE * parameters.speed().chunkTokens()
                : parameters.speed().chunkTokens();
        List<QueuedJob> taken = new ArrayList<>();
        while (chunk < most && !prompts.isEmpty() && canStart(prompts.peek().job())) {
            QueuedJob prompt = prompts.poll();
            start(prompt.job());
            double tokens = Math.min(prompt.job().prefillLeft(), most - chunk);
            chunks.add(new PromptChunk(prompt.job(), tokens));
            chunk += tokens;
            taken.add(prompt);
        }
        prompts.addAll(taken);
        if (chunks.isEmpty() && running.isEmpty()) {
            return;
        }
        iterating = true;
        long startedIn = epoch;
        loop.after(iterationSeconds(chunk), () -> endIteration(startedIn, chunks));
    }

    /** The agent beside the engine looks at the deadline a last time before a request starts. */
    private void giveBackLate() {
        List<QueuedJob> late = prompts.stream()
                .filter(prompt -> prompt.job().isTooLate(loop.nowSeconds()))
                .toList();
        prompts.removeAll(late);
        late.forEach(prompt -> listener.notStarted(prompt.job(), this));
    }

    private double iterationSeconds(double chunk) {
        double prefill = parameters.speed().prefillSeconds(chunk);
        if (running.isEmpty()) {
            return prefill;
        }
        return parameters.speed().stepSeconds(running.size())
                + prefill * (1 + parameters.speed().mixingSlowdown());
    }

    private void endIteration(long startedIn, List<PromptChunk> chunks) {
        if (startedIn != epoch) {
            return;
        }
        iterating = false;
        List<EngineJob> ended = new ArrayList<>();
        for (EngineJob job : running) {
            job.generatedOne();
            if (job.isGenerated()) {
                ended.add(job);
            }
        }
        running.removeAll(ended);
        ended.forEach(this::release);
        for (PromptChunk chunk : chunks) {
            chunk.job().computed(chunk.tokens());
            if (chunk.job().isComputed()) {
                computed(chunk.job());
            }
        }
        ended.forEach(job -> listener.finished(job, this));
        if (state == EngineState.DRAINING) {
            handAnswersOver();
            leaveIfEmpty();
        }
        iterate();
    }

    private void computed(EngineJob job) {
        prompts.removeIf(prompt -> prompt.job() == job);
        List<Long> stored = prefixes.store(job.prefix());
        if (!stored.isEmpty()) {
            listener.cacheChanged(this, new CacheEvent.Stored(stored));
        }
        shrinkPrefixes();
        listener.firstToken(job);
        if (job.answerEngine().isEmpty()) {
            running.add(job);
            return;
        }
        release(job);
        double seconds = parameters.speed().handoffSeconds(job.contextTokens());
        loop.after(seconds, () -> job.answerEngine().get().handOver(job));
    }

    private boolean canStart(EngineJob job) {
        if (job.started()) {
            return true;
        }
        boolean place = job.answerEngine().isPresent() || running.size() + computing() < parameters.mostSequences();
        return place && fits(job);
    }

    private long computing() {
        return prompts.stream().filter(prompt -> prompt.job().started()).count();
    }

    private boolean fits(EngineJob job) {
        return piecesInUse == 0 || piecesInUse + job.pieces(parameters.pieceTokens()) <= parameters.cachePieces();
    }

    private void start(EngineJob job) {
        if (!job.started()) {
            job.start(prefixes.use(job.prefix(), parameters.pieceTokens()));
            reserve(job);
        }
    }

    private void startAnswers() {
        while (!handedOver.isEmpty()
                && running.size() < parameters.mostSequences()
                && fits(handedOver.peek().job())) {
            EngineJob job = handedOver.poll().job();
            reserve(job);
            running.add(job);
        }
    }

    private void reserve(EngineJob job) {
        piecesInUse += job.pieces(parameters.pieceTokens());
        shrinkPrefixes();
    }

    private void release(EngineJob job) {
        piecesInUse -= job.pieces(parameters.pieceTokens());
    }

    private void shrinkPrefixes() {
        List<Long> dropped = prefixes.shrinkTo(parameters.cachePieces() - piecesInUse);
        if (!dropped.isEmpty()) {
            listener.cacheChanged(this, new CacheEvent.Removed(dropped));
        }
    }

    /** Exports the running answers to an engine that can take them; without one they end here. */
    private void handAnswersOver() {
        if (iterating) {
            return;
        }
        List<EngineJob> leaving = new ArrayList<>(running);
        handedOver.forEach(answer -> leaving.add(answer.job()));
        for (EngineJob job : leaving) {
            listener.takeOver(this).ifPresent(other -> {
                if (running.remove(job)) {
                    release(job);
                }
                handedOver.removeIf(answer -> answer.job() == job);
                other.expect(job);
                double tokens = job.contextTokens() + TAKE_OVER_TOKENS;
                loop.after(parameters.speed().handoffSeconds(tokens), () -> other.handOver(job));
            });
        }
    }

    private void leaveIfEmpty() {
        if (iterating || !running.isEmpty() || !handedOver.isEmpty() || !prompts.isEmpty()) {
            return;
        }
        state = EngineState.AWAY;
        long startedIn = epoch;
        prefixes.clear();
        loop.after(parameters.roleChangeSeconds(), () -> {
            if (startedIn == epoch) {
                awaySeconds += loop.nowSeconds() - awaySince;
                role = nextRole;
                state = EngineState.READY;
                listener.cacheChanged(this, new CacheEvent.Cleared());
                listener.stateChanged(this);
            }
        });
    }

    private record QueuedJob(EngineJob job, long number) {}

    private record PromptChunk(EngineJob job, double tokens) {}
}
