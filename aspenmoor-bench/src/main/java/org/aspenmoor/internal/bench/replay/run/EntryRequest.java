package org.aspenmoor.internal.bench.replay.run;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.bench.replay.engine.EngineJob;
import org.aspenmoor.internal.bench.replay.engine.ModelEngine;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.Placement;
import org.aspenmoor.internal.serving.PlacementRequest;
import org.aspenmoor.internal.serving.WaitQueue;
import org.aspenmoor.internal.serving.WorkKind;

/** One request on its way through an entry, as the entry that serves callers sends it. */
final class EntryRequest {
    private static final double NANOSECONDS = 1e9;
    private static final Duration SHORTEST_PAUSE = Duration.ofMillis(200);
    private static final int MOST_STAGED_TRIES = 2;
    private static final int MOST_TRIES = 4;

    /** Engines that may run one request. */
    private static final int MOST_RUNS = 2;

    private final ReplayEntry entry;
    private final CallerAsk ask;
    private final long arrivedAt;
    private final Set<String> avoided = new HashSet<>();
    private Optional<AttemptAnswers> current = Optional.empty();
    private int failedStages;
    private int tries;
    private int events;
    private long departedAt;
    private long firstEventAt;
    private boolean over;

    EntryRequest(ReplayEntry entry, CallerAsk ask) {
        this.entry = entry;
        this.ask = ask;
        this.arrivedAt = entry.loop().now();
    }

    void start() {
        entry.placer()
                .answerRequested(ReplayRun.SERVICE, ask.prompt(), ask.kind().deadline(), now());
        entry.loop().after((ask.deadlineAt() - now()) / NANOSECONDS, this::deadlineReached);
        place(entry.line().size() > 0);
    }

    void goOn() {
        place(false);
    }

    void giveUp(Duration comeBackAfter) {
        refuse(comeBackAfter);
    }

    private PlacementRequest wanted(boolean othersWait) {
        boolean mayStage = failedStages < MOST_STAGED_TRIES && !entry.without(Mechanism.STAGING);
        return new PlacementRequest(
                ReplayRun.SERVICE,
                Optional.of(ask.prompt()),
                Duration.ofNanos(ask.deadlineAt() - now()),
                ask.kind().objective(),
                events > 0,
                avoided,
                mayStage,
                !entry.without(Mechanism.WAITING),
                othersWait);
    }

    private void place(boolean othersWait) {
        switch (entry.placer().choose(wanted(othersWait), now())) {
            case Placement.SingleServer whole -> {
                departed();
                int rank = ask.kind().priority();
                send(whole.server(), WorkKind.WHOLE, whole.promptSeconds(), rank, entry.engine(whole.cacheHolder()));
            }
            case Placement.Disaggregated staged -> {
                departed();
                int rank = staged.promptPriority(ask.kind().priority());
                send(
                        staged.prefill(),
                        WorkKind.PROMPT_ONLY,
                        staged.promptSeconds(),
                        rank,
                        entry.engine(staged.cacheHolder()));
            }
            case Placement.Queued held ->
                entry.wait(new WaitQueue.QueuedRequest<>(
                        this,
                        held.promptSeconds(),
                        arrivedAt,
                        ask.askedAt() + ask.kind().objective().toNanos(),
                        ask.deadlineAt()));
            case Placement.Refused refused -> refuse(refused.retryAfter());
        }
    }

    private void departed() {
        departedAt = now();
        entry.line().dispatched(ask.askedAt() + ask.kind().objective().toNanos(), departedAt);
    }

    private void send(
            BackendServer server, WorkKind kind, double promptSeconds, int rank, Optional<ModelEngine> holder) {
        if (kind != WorkKind.PROMPT_ONLY) {
            tries++;
            avoided.add(server.id());
        }
        AssignedWork work = entry.placer()
                .attemptStarted(server, kind, promptSeconds, ask.kind().objective(), now());
        entry.placer().promptAssigned(server, ask.prompt(), now());
        AttemptAnswers answers = new AttemptAnswers(this, entry, server, kind, work);
        EngineJob job =
                new EngineJob(ask.prompt(), kind, ask.events() - events, rank, holder, entry.nextJob(), answers);
        answers.sent(job);
        current = Optional.of(answers);
        entry.send(entry.engine(server), job);
    }

    void promptComputed(BackendServer engine) {
        Optional<BackendServer> decoder = entry.placer().chooseDecodeEngine(wanted(false), engine, now());
        if (decoder.isEmpty()) {
            refuse(SHORTEST_PAUSE);
            return;
        }
        send(decoder.get(), WorkKind.HANDOFF, 0, ask.kind().priority(), Optional.empty());
        entry.roomMayBe();
    }

    void event(AssignedWork work) {
        if (events == 0) {
            entry.line().answerStarted((now() - departedAt) / NANOSECONDS);
        }
        events++;
        entry.placer()
                .answerStreaming(ReplayRun.SERVICE, told(), Duration.ofNanos(ask.deadlineAt() - arrivedAt), now());
        entry.callers().event(ask);
        if (entry.placer().shouldMoveAnswer(work, now())) {
            goOnElsewhere();
        }
    }

    private void goOnElsewhere() {
        if (events < ask.events() && ask.kind().resumable() && tries < MOST_RUNS) {
            current.ifPresent(AttemptAnswers::cancel);
            place(false);
        }
    }

    private Duration told() {
        if (firstEventAt == 0) {
            firstEventAt = now();
        }
        return Duration.ofNanos(now() - firstEventAt);
    }

    void complete() {
        over = true;
        entry.placer().answerCompleted(ReplayRun.SERVICE, ask.prompt(), events);
        entry.callers().complete(ask);
        entry.roomMayBe();
    }

    void rejected(BackendServer server, WorkKind kind) {
        if (kind == WorkKind.PROMPT_ONLY) {
            failedStages++;
            avoided.add(server.id());
        }
        again(false);
    }

    void lost(WorkKind kind) {
        if (kind == WorkKind.PROMPT_ONLY) {
            failedStages++;
            again(false);
            return;
        }
        again(true);
    }

    private void again(boolean mayHaveRun) {
        boolean repeatable = !mayHaveRun || ask.kind().resumable();
        if (repeatable && tries < MOST_TRIES) {
            place(false);
        } else if (mayHaveRun || events > 0) {
            fail();
        } else {
            refuse(SHORTEST_PAUSE);
        }
    }

    private void deadlineReached() {
        if (over) {
            return;
        }
        current.ifPresent(AttemptAnswers::cancel);
        if (tries > 0) {
            fail();
        } else {
            refuse(SHORTEST_PAUSE);
        }
    }

    private void refuse(Duration comeBackAfter) {
        if (events > 0 || over) {
            fail();
            return;
        }
        over = true;
        entry.line().remove(this);
        Duration pause = comeBackAfter.compareTo(SHORTEST_PAUSE) < 0 ? SHORTEST_PAUSE : comeBackAfter;
        entry.callers().refused(ask, entry.spread(pause));
    }

    private void fail() {
        if (!over) {
            over = true;
            entry.callers().failed(ask);
        }
    }

    boolean over() {
        return over;
    }

    private long now() {
        return entry.loop().now();
    }
}
