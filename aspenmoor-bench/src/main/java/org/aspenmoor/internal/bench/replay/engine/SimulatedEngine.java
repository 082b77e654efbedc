package org.aspenmoor.internal.bench.replay.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.bench.policy.engine.EventLoop;
import org.aspenmoor.internal.bench.replay.customer.EngineProfile;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.ReportedLoad;
import org.aspenmoor.internal.serving.WorkKind;

/** A simulated engine. Confined to the thread of the replay. */
public final class SimulatedEngine {
    /** Time step by which answers advance; a fraction of the shortest event interval that callers notice. */
    private static final double TICK_SECONDS = 0.004;

    private final EventLoop loop;
    private final EngineProfile profile;
    private final double slowdown;
    private final PromptPartCache promptCache = new PromptPartCache();
    private final JobQueue prefillQueue = new JobQueue();
    private final JobQueue answerQueue = new JobQueue();
    private final DecodeBatch batch;
    private BackendServer server;
    private Optional<EngineJob> prefilling = Optional.empty();
    private Optional<EngineRole> orderedRole = Optional.empty();
    private double linkFreeAtSeconds;
    private boolean tickScheduled;
    private boolean changingRole;
    private boolean up = true;
    private int incarnation;

    public SimulatedEngine(EventLoop loop, EngineProfile profile, double slowdown, BackendServer server) {
        this.loop = loop;
        this.profile = profile;
        this.slowdown = slowdown;
        this.server = server;
        this.batch = new DecodeBatch(profile, slowdown);
    }

    /** Returns the server record that the engine reports, with its present role. */
    public BackendServer server() {
        return server;
    }

    /** Returns whether the engine is up. It also counts as up during a role change. */
    public boolean isUp() {
        return up;
    }

    /** Returns its present load. */
    public ReportedLoad load() {
        int running = batch.size() + (prefilling.isPresent() || batch.isPrefilling() ? 1 : 0);
        return ReportedLoad.of(running, prefillQueue.size() + answerQueue.size(), profile.slots());
    }

    /** Accepts or rejects a job. */
    public void submit(EngineJob job) {
        if (!up) {
            job.listener().lost();
            return;
        }
        boolean wrongRole = (job.workKind() == WorkKind.PROMPT_ONLY) != (server.role() == EngineRole.PREFILL);
        if (wrongRole || orderedRole.isPresent() || prefillQueue.size() + answerQueue.size() >= profile.queueLimit()) {
            job.listener().rejected();
            return;
        }
        switch (job.workKind()) {
            case PROMPT_ONLY -> {
                prefillQueue.add(job);
                prefillNext();
            }
            case HANDOFF -> receiveHandoff(job);
            case WHOLE, PLAIN -> {
                answerQueue.add(job);
                admitAnswers();
            }
        }
    }

    /** Drops a job whose caller has cancelled. A prefill-only job that has started is completed. */
    public void cancel(EngineJob job) {
        boolean dropped = prefillQueue.remove(job) || answerQueue.remove(job) || batch.remove(job);
        if (dropped) {
            admitAnswers();
        }
        changeRoleIfEmpty();
    }

    /**
     * Orders a role change. Queued prompts are rejected, accepted work is completed; then the role changes after a
     * delay.
     */
    public void changeRole(EngineRole role) {
        if (up && orderedRole.isEmpty() && server.role() != role) {
            orderedRole = Optional.of(role);
            List<EngineJob> rejected = new ArrayList<>();
            prefillQueue.drainTo(rejected);
            rejected.forEach(job -> job.listener().rejected());
            changeRoleIfEmpty();
        }
    }

    /** Takes the engine down; all its jobs and its cache are lost. It is up again, empty, after the outage. */
    public void fail(double outageSeconds) {
        up = false;
        incarnation++;
        List<EngineJob> lost = new ArrayList<>();
        prefillQueue.drainTo(lost);
        answerQueue.drainTo(lost);
        batch.drainTo(lost);
        prefilling.ifPresent(lost::add);
        prefilling = Optional.empty();
        orderedRole = Optional.empty();
        changingRole = false;
        tickScheduled = false;
        promptCache.clear();
        lost.forEach(job -> job.listener().lost());
        loop.after(outageSeconds, () -> up = true);
    }

    private void schedule(double seconds, Runnable action) {
        int scheduledIn = incarnation;
        loop.after(seconds, () -> {
            if (scheduledIn == incarnation) {
                action.run();
            }
        });
    }

    private void prefillNext() {
        if (prefilling.isPresent()) {
            return;
        }
        prefilling = prefillQueue.take();
        prefilling.ifPresent(job -> {
            int cachedTokens = promptCache.lookUp(job.prompt());
            double transferredTokens = tokensToTransfer(job, cachedTokens);
            double transferSeconds = transferredTokens > 0 ? profile.cacheTransferSeconds(transferredTokens) : 0;
            double missingTokens = job.prompt().promptTokens() - cachedTokens - transferredTokens;
            double totalSeconds = transferSeconds
                    + profile.prefillSeconds(missingTokens, cachedTokens + transferredTokens) * slowdown;
            schedule(totalSeconds, () -> {
                promptCache.store(job.prompt(), profile.cacheTokens());
                prefilling = Optional.empty();
                schedule(profile.firstEventSeconds(), job.listener()::promptPrefilled);
                prefillNext();
                changeRoleIfEmpty();
            });
        });
        changeRoleIfEmpty();
    }

    private static double tokensToTransfer(EngineJob job, int cachedTokens) {
        int heldTokens = job.cacheHolder()
                .filter(SimulatedEngine::isUp)
                .map(engine -> engine.promptCache.lookUp(job.prompt()))
                .orElse(0);
        return Math.max(0, heldTokens - cachedTokens);
    }

    /** Queues the transfer of a prefilled prompt to this engine; transfers run one after another. */
    private void receiveHandoff(EngineJob job) {
        double startSeconds = Math.max(loop.nowSeconds(), linkFreeAtSeconds);
        linkFreeAtSeconds =
                startSeconds + profile.cacheTransferSeconds(job.prompt().promptTokens());
        answerQueue.add(job);
        schedule(linkFreeAtSeconds - loop.nowSeconds(), () -> {
            job.markTransferred();
            admitAnswers();
        });
    }

    private void admitAnswers() {
        Optional<EngineJob> next = answerQueue.peek();
        while (next.isPresent() && batch.hasRoomFor(next.get())) {
            EngineJob job = next.get();
            // A preempted answer has lost its cache and has to be prefilled again.
            boolean handoff = job.workKind() == WorkKind.HANDOFF && !job.preempted();
            if (handoff ? !job.transferred() : batch.isPrefilling()) {
                return;
            }
            answerQueue.take();
            if (handoff) {
                startDecode(job);
            } else {
                batch.startPrefill(job, job.requiredCacheTokens() - promptCache.lookUp(job.prompt()));
                scheduleTick();
            }
            next = answerQueue.peek();
        }
    }

    private void startDecode(EngineJob job) {
        promptCache.store(job.prompt(), Math.max(0, profile.cacheTokens() - batch.cacheTokens()));
        batch.startDecode(job);
        schedule(profile.firstEventSeconds(), () -> sendEvent(job));
        scheduleTick();
    }

    private void scheduleTick() {
        if (tickScheduled || batch.isIdle()) {
            return;
        }
        tickScheduled = true;
        schedule(TICK_SECONDS, () -> {
            tickScheduled = false;
            List<EngineJob> withEvent = batch.advance(TICK_SECONDS);
            withEvent.forEach(this::sendEvent);
            batch.takePrefilled().ifPresent(this::startDecode);
            Optional<EngineJob> preempted = batch.takePreempted();
            preempted.ifPresent(answerQueue::add);
            admitAnswers();
            changeRoleIfEmpty();
            scheduleTick();
        });
    }

    private void sendEvent(EngineJob job) {
        if (job.allEventsSent()) {
            return;
        }
        job.countSentEvent();
        job.listener().eventSent();
        if (job.allEventsSent() && batch.remove(job)) {
            job.listener().answerCompleted();
        }
    }

    private void changeRoleIfEmpty() {
        boolean empty = prefilling.isEmpty() && batch.isIdle() && answerQueue.size() == 0;
        if (orderedRole.isEmpty() || !empty || changingRole) {
            return;
        }
        changingRole = true;
        schedule(profile.roleChangeSeconds(), () -> {
            server = withRole(orderedRole.orElseThrow());
            orderedRole = Optional.empty();
            changingRole = false;
        });
    }

    private BackendServer withRole(EngineRole role) {
        return new BackendServer(
                server.id(),
                server.startedAt(),
                server.service(),
                server.softwareVersion(),
                server.host(),
                server.port(),
                server.dataCentre(),
                server.slots(),
                BackendState.READY,
                role);
    }
}
