package org.aspenmoor.internal.bench.replay.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.bench.policy.engine.EventLoop;
import org.aspenmoor.internal.bench.replay.customer.EngineFigures;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.ReportedLoad;
import org.aspenmoor.internal.serving.WorkKind;

/** A model of one engine. Confined to the replay's thread. */
public final class ModelEngine {
    /** How finely answers advance: a fraction of the shortest pause that callers notice. */
    private static final double TICK_SECONDS = 0.004;

    private final EventLoop loop;
    private final EngineFigures figures;
    private final double slowness;
    private final KeptParts kept = new KeptParts();
    private final JobQueue prompts = new JobQueue();
    private final JobQueue arriving = new JobQueue();
    private final AnswerBatch batch;
    private BackendServer server;
    private Optional<EngineJob> computing = Optional.empty();
    private Optional<EngineRole> wantedRole = Optional.empty();
    private double linkFreeAt;
    private boolean ticking;
    private boolean changing;
    private boolean present = true;
    private int life;

    public ModelEngine(EventLoop loop, EngineFigures figures, double slowness, BackendServer server) {
        this.loop = loop;
        this.figures = figures;
        this.slowness = slowness;
        this.server = server;
        this.batch = new AnswerBatch(figures, slowness);
    }

    /** Returns what the engine says of itself. */
    public BackendServer server() {
        return server;
    }

    /** Returns whether it is there at all. */
    public boolean present() {
        return present;
    }

    /** Returns its load. */
    public ReportedLoad load() {
        int running = batch.size() + (computing.isPresent() || batch.computes() ? 1 : 0);
        return new ReportedLoad(running, prompts.size() + arriving.size(), figures.slots());
    }

    /** Takes a job. */
    public void take(EngineJob job) {
        if (!present) {
            job.answers().lost();
            return;
        }
        boolean wrongRole = (job.kind() == WorkKind.PROMPT_ONLY) != (server.role() == EngineRole.PREFILL);
        if (wrongRole || wantedRole.isPresent() || prompts.size() + arriving.size() >= figures.queue()) {
            job.answers().rejected();
            return;
        }
        switch (job.kind()) {
            case PROMPT_ONLY -> {
                prompts.add(job);
                computeNext();
            }
            case HANDOFF -> transfer(job);
            case WHOLE, PLAIN -> {
                arriving.add(job);
                admit();
            }
        }
    }

    /** Drops a job whose caller has left. */
    public void cancel(EngineJob job) {
        boolean dropped = prompts.remove(job) || arriving.remove(job) || batch.remove(job);
        if (dropped) {
            admit();
        }
        changeRoleIfEmpty();
    }

    /** Orders another role: what runs ends first, then the engine is away for a while. */
    public void order(EngineRole role) {
        if (present && wantedRole.isEmpty() && server.role() != role) {
            wantedRole = Optional.of(role);
            List<EngineJob> refused = new ArrayList<>();
            prompts.drainTo(refused);
            refused.forEach(job -> job.answers().rejected());
            changeRoleIfEmpty();
        }
    }

    /** Ends the engine with all that it has; an empty one is back after a while. */
    public void lose(double seconds) {
        present = false;
        life++;
        List<EngineJob> lost = new ArrayList<>();
        prompts.drainTo(lost);
        arriving.drainTo(lost);
        batch.drainTo(lost);
        computing.ifPresent(lost::add);
        computing = Optional.empty();
        wantedRole = Optional.empty();
        changing = false;
        ticking = false;
        kept.clear();
        lost.forEach(job -> job.answers().lost());
        loop.after(seconds, () -> present = true);
    }

    private void later(double seconds, Runnable action) {
        int then = life;
        loop.after(seconds, () -> {
            if (then == life) {
                action.run();
            }
        });
    }

    private void computeNext() {
        if (computing.isPresent()) {
            return;
        }
        computing = prompts.take();
        computing.ifPresent(job -> {
            int known = kept.use(job.prompt());
            double moved = fetchedTokens(job, known);
            double fetch = moved > 0 ? figures.movedSeconds(moved) : 0;
            double missing = job.prompt().promptTokens() - known - moved;
            double work = fetch + figures.promptSeconds(missing, known + moved) * slowness;
            later(work, () -> {
                kept.keep(job.prompt(), figures.cacheTokens());
                computing = Optional.empty();
                later(figures.firstSeconds(), job.answers()::promptComputed);
                computeNext();
                changeRoleIfEmpty();
            });
        });
        changeRoleIfEmpty();
    }

    private static double fetchedTokens(EngineJob job, int known) {
        int held = job.holder()
                .filter(ModelEngine::present)
                .map(engine -> engine.kept.use(job.prompt()))
                .orElse(0);
        return Math.max(0, held - known);
    }

    /** Transfers to an engine follow one another. */
    private void transfer(EngineJob job) {
        double begins = Math.max(loop.nowSeconds(), linkFreeAt);
        linkFreeAt = begins + figures.movedSeconds(job.prompt().promptTokens());
        arriving.add(job);
        later(linkFreeAt - loop.nowSeconds(), () -> {
            job.noteTransferred();
            admit();
        });
    }

    private void admit() {
        Optional<EngineJob> next = arriving.peek();
        while (next.isPresent() && batch.room(next.get())) {
            EngineJob job = next.get();
            // One that had to yield is read in again.
            boolean handedOver = job.kind() == WorkKind.HANDOFF && !job.yielded();
            if (handedOver ? !job.transferred() : batch.computes()) {
                return;
            }
            arriving.take();
            if (handedOver) {
                begin(job);
            } else {
                batch.compute(job, job.tokensNeeded() - kept.use(job.prompt()));
                tick();
            }
            next = arriving.peek();
        }
    }

    private void begin(EngineJob job) {
        kept.keep(job.prompt(), Math.max(0, figures.cacheTokens() - batch.tokens()));
        batch.join(job);
        later(figures.firstSeconds(), () -> made(job));
        tick();
    }

    private void tick() {
        if (ticking || batch.idle()) {
            return;
        }
        ticking = true;
        later(TICK_SECONDS, () -> {
            ticking = false;
            List<EngineJob> made = batch.advance(TICK_SECONDS);
            made.forEach(this::made);
            batch.takeComputed().ifPresent(this::begin);
            Optional<EngineJob> yields = batch.takeOverflowing();
            yields.ifPresent(arriving::add);
            admit();
            changeRoleIfEmpty();
            tick();
        });
    }

    private void made(EngineJob job) {
        if (job.answered()) {
            return;
        }
        job.eventMade();
        job.answers().event();
        if (job.answered() && batch.remove(job)) {
            job.answers().complete();
        }
    }

    private void changeRoleIfEmpty() {
        boolean empty = computing.isEmpty() && batch.idle() && arriving.size() == 0;
        if (wantedRole.isEmpty() || !empty || changing) {
            return;
        }
        changing = true;
        later(figures.roleChangeSeconds(), () -> {
            server = withRole(wantedRole.orElseThrow());
            wantedRole = Optional.empty();
            changing = false;
        });
    }

    private BackendServer withRole(EngineRole role) {
        return new BackendServer(
                server.id(),
                server.startedAt(),
                server.service(),
                server.host(),
                server.port(),
                server.dataCentre(),
                server.slots(),
                BackendState.READY,
                role);
    }
}
